import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', '**/node_modules/**'] }),
  {
    files: ['**/*.ts'],
    rules: {
      'no-void': 'off',
      'no-unused-private-class-members': 'error',
      'prefer-const': 'error',
      eqeqeq: 'error'
    }
  },
  {
    files: ['packages/core/src/**/*.ts', 'packages/common/src/**/*.ts'],
    rules: {
      'no-restricted-globals': ['error', 'setTimeout', 'setInterval', 'process', 'fetch'],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'Take the time as an argument or from a Clock.' },
        { object: 'Math', property: 'random', message: 'Take a Random as an argument.' }
      ]
    }
  }
]
