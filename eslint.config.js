import tseslint from 'typescript-eslint';

export default tseslint.config({ ignores: ['target/', 'node_modules/'] }, ...tseslint.configs.strict, {
  rules: {
    '@typescript-eslint/no-explicit-any': 'error',
    '@typescript-eslint/no-non-null-assertion': 'error',
    eqeqeq: 'error',
  },
});
