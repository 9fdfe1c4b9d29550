export default {
  import: ['features/steps/**/*.ts'],
  format: ['summary'],
  strict: true
}
