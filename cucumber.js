export default {
  import: ['features/steps/**/*.ts'],
  paths: ['features/**/*.feature'],
  format: ['summary'],
  strict: true
}
