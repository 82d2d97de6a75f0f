/**
 * Meaning and remedy of each kind of error; docs/ERRORS.md is generated from this table.
 */
import type { ErrorKind } from './errors.ts'

/** Meaning and general remedy of a kind; an error's own remedy may be more specific. */
export type ErrorDescription = Readonly<{ meaning: string, remedy: string }>

/** One entry for every kind. */
export const ERROR_REFERENCE: Readonly<Record<ErrorKind, ErrorDescription>> = {
  'invalid-file': { meaning: 'A file breaks its schema or can\'t be read.', remedy: 'Correct the line and key that the message names.' },
  'invalid-request': { meaning: 'The request breaks a rule; nothing was changed.', remedy: 'Correct the field that the message names.' },
  unauthorised: { meaning: 'The request carries no known token.', remedy: 'Send a token of the settings, `Authorization: Bearer TOKEN`.' },
  'not-found': { meaning: 'Nothing of that name is known, in any cell.', remedy: 'Look the name up with `auburnpin jobs list` or `status`.' },
  conflict: { meaning: 'Something changed since the request was written; nothing was changed now.', remedy: 'Read the newer state, then write the request again.' },
  overloaded: { meaning: 'Refused before it ran, as there is no room for it in time.', remedy: 'Come back after the time in `Retry-After`.' },
  leaving: { meaning: 'The process or endpoint takes no new work; not run.', remedy: 'Send it again; another one answers.' },
  timeout: { meaning: 'The time for it has run out.', remedy: 'Read `auburnpin-outcome` before you send it again.' },
  unreachable: { meaning: 'Nothing was sent, as nobody answers there.', remedy: 'Check the address and that the other side runs, then send it again.' },
  'unknown-outcome': { meaning: 'It was sent and its answer was lost: it may have taken effect.', remedy: 'Read back before you repeat it; with the same key or note id a repetition is safe.' },
  fenced: { meaning: 'Another member has taken over what this one owned.', remedy: 'Ask again in a moment; the new owner answers.' },
  corrupt: { meaning: 'A stored row or message can\'t be read.', remedy: 'Keep the row, restore it from the platform\'s backup, and report it.' },
  'version-mismatch': { meaning: 'Two releases don\'t understand each other.', remedy: 'Bring all members to releases that follow on one another.' },
  invariant: { meaning: 'A promise of the product would have been broken; the action was refused.', remedy: 'Report it as a bug with the log around it.' }
}
