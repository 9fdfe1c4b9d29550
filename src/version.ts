/** Version of the package, shown by `--version` and in status responses. */
export const VERSION = '0.1.0'
