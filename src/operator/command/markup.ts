/** Pieces of markup: texts are always escaped, what is markup already is marked as such. */

/** Markup that needs no escaping. */
export interface Markup {
  readonly markup: string
}

/** What may stand in a template. */
export type MarkupValue = string | number | Markup | readonly Markup[]

const ESCAPES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', '\'': '&#39;' }

/**
 * Template tag for markup; plain values are escaped.
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
