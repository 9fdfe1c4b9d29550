/** Version of the package, told by `--version` and by status answers. */
export const VERSION = '0.1.0'
