/** Template tag for HTML and SVG. Plain values are escaped, and values of type Markup are inserted unchanged. */

/** Text that is already valid markup and is inserted without escaping. */
export interface Markup {
  readonly markup: string
}

/** Values that can be inserted into a template. */
export type MarkupValue = string | number | Markup | readonly Markup[]

const ESCAPES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;' }

/**
 * Renders a template. Strings are escaped, and arrays are concatenated.
 *
 * @example
 * html`<td>${name}</td>`.markup
 */
export function html (strings: TemplateStringsArray, ...values: readonly MarkupValue[]): Markup {
  const parts = strings.map((text, index) => text + (index < values.length ? render(values[index] as MarkupValue) : ''))
  return { markup: parts.join('') }
}

function render (value: MarkupValue): string {
  if (typeof value === 'string') return value.replace(/[&<>"']/g, (character) => ESCAPES[character] ?? character)
  if (typeof value === 'number') return String(value)
  if ('markup' in value) return value.markup
  return value.map((part) => part.markup).join('')
}
