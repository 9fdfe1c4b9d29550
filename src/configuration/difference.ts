/** What a change of configuration changes, in the operators' words. */
import type { Configuration } from './schema.js'

/** One change, by the part of the document that it is in. */
export interface DifferenceLine {
  readonly part: 'deployment' | 'service' | 'organisation' | 'class'
  /** Name of the service, organisation or class; the deployment's own name. */
  readonly name: string
  readonly change: 'added' | 'removed' | 'changed'
  /** Field within the part, such as `target.first_token_ms`; empty when the whole part came or went. */
  readonly field: string
  readonly before: string
  readonly after: string
}

/** All changes between two configurations, in the document's order. */
export type Difference = readonly DifferenceLine[]

type Part = DifferenceLine['part']

interface Named {
  readonly name: string
}

/**
 * @param before undefined when nothing was in force
 * @example
 * difference(before, after).map(describeDifference)
 */
export function difference (before: Configuration | undefined, after: Configuration): Difference {
  const deployment = before === undefined ? [] : [before.deployment]
  return [
    ...differenceOf('deployment', deployment.map((part) => ({ ...part, name: after.deployment.name })), [after.deployment]),
    ...renamed(before, after),
    ...differenceOf('service', before?.services ?? [], after.services),
    ...differenceOf('organisation', before?.organisations ?? [], after.organisations),
    ...differenceOf('class', before?.classes ?? [], after.classes)
  ]
}

/**
 * One change as a line of text.
 *
 * @example
 * describeDifference(line) // 'class booking: target.whole_answer_ms 3000 -> 2000'
 */
export function describeDifference (line: DifferenceLine): string {
  const title = `${line.part} ${line.name}`
  switch (line.change) {
    case 'added': return `${title}: added`
    case 'removed': return `${title}: removed`
    case 'changed': return `${title}: ${line.field} ${line.before || '(none)'} -> ${line.after || '(none)'}`
  }
}

function renamed (before: Configuration | undefined, after: Configuration): DifferenceLine[] {
  if (before === undefined || before.deployment.name === after.deployment.name) return []
  return [{ part: 'deployment', name: after.deployment.name, change: 'changed', field: 'name', before: before.deployment.name, after: after.deployment.name }]
}

function differenceOf (part: Part, before: readonly Named[], after: readonly Named[]): DifferenceLine[] {
  const earlier = new Map(before.map((item) => [item.name, item]))
  const later = new Set(after.map((item) => item.name))
  const removed = before.filter((item) => !later.has(item.name)).map((item) => whole(part, item.name, 'removed'))
  const rest = after.flatMap((item) => {
    const old = earlier.get(item.name)
    return old === undefined ? [whole(part, item.name, 'added')] : fieldsChanged(part, old, item)
  })
  return [...removed, ...rest]
}

function whole (part: Part, name: string, change: 'added' | 'removed'): DifferenceLine {
  return { part, name, change, field: '', before: '', after: '' }
}

function fieldsChanged (part: Part, before: Named, after: Named): DifferenceLine[] {
  const earlier = flatten(before, '')
  const later = flatten(after, '')
  const fields = new Set([...earlier.keys(), ...later.keys()])
  return [...fields].flatMap((field) => {
    const old = earlier.get(field) ?? ''
    const fresh = later.get(field) ?? ''
    return old === fresh ? [] : [{ part, name: after.name, change: 'changed' as const, field, before: old, after: fresh }]
  })
}

function flatten (value: object, prefix: string): Map<string, string> {
  const fields = new Map<string, string>()
  for (const [key, inner] of Object.entries(value)) {
    if (inner !== null && typeof inner === 'object' && !Array.isArray(inner)) {
      for (const [path, text] of flatten(inner, `${prefix}${key}.`)) fields.set(path, text)
    } else if (inner !== undefined) {
      fields.set(prefix + key, Array.isArray(inner) ? inner.join(', ') : String(inner))
    }
  }
  return fields
}
