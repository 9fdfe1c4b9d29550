/** Differences between two configurations, in the terms of the document that operators write. */
import type { Configuration } from './schema.js'

/** One difference, with the part of the document that contains it. */
export interface DifferenceLine {
  readonly part: 'deployment' | 'service' | 'organisation' | 'class'
  /** Name of the service, organisation, class or deployment. */
  readonly name: string
  readonly change: 'added' | 'removed' | 'changed'
  /**
   * Path of the field within the part, such as `target.first_token_ms`. Empty if the whole part was added or removed.
   */
  readonly field: string
  readonly before: string
  readonly after: string
}

/** All differences between two configurations, in the order of the document. */
export type Difference = readonly DifferenceLine[]

type Part = DifferenceLine['part']

interface Named {
  readonly name: string
}

/**
 * Compares two configurations.
 *
 * @param before undefined if there was no configuration
 * @example
 * difference(before, after).map(describeDifference)
 */
export function difference (before: Configuration | undefined, after: Configuration): Difference {
  const deployment = before === undefined ? [] : [before.deployment]
  return [
    ...differenceOf('deployment', deployment.map((part) => ({ ...part, name: after.deployment.name })), [after.deployment]),
    ...deploymentRename(before, after),
    ...differenceOf('service', before?.services ?? [], after.services),
    ...differenceOf('organisation', before?.organisations ?? [], after.organisations),
    ...differenceOf('class', before?.classes ?? [], after.classes)
  ]
}

/**
 * Describes one difference in a line of text.
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

function deploymentRename (before: Configuration | undefined, after: Configuration): DifferenceLine[] {
  if (before === undefined || before.deployment.name === after.deployment.name) return []
  return [{ part: 'deployment', name: after.deployment.name, change: 'changed', field: 'name', before: before.deployment.name, after: after.deployment.name }]
}

function differenceOf (part: Part, before: readonly Named[], after: readonly Named[]): DifferenceLine[] {
  const earlier = new Map(before.map((item) => [item.name, item]))
  const later = new Set(after.map((item) => item.name))
  const removed = before.filter((item) => !later.has(item.name)).map((item) => wholeItemLine(part, item.name, 'removed'))
  const rest = after.flatMap((item) => {
    const old = earlier.get(item.name)
    return old === undefined ? [wholeItemLine(part, item.name, 'added')] : fieldsChanged(part, old, item)
  })
  return [...removed, ...rest]
}

function wholeItemLine (part: Part, name: string, change: 'added' | 'removed'): DifferenceLine {
  return { part, name, change, field: '', before: '', after: '' }
}

function fieldsChanged (part: Part, before: Named, after: Named): DifferenceLine[] {
  const earlier = flatten(before, '')
  const later = flatten(after, '')
  const fields = new Set([...earlier.keys(), ...later.keys()])
  return [...fields].flatMap((field) => {
    const old = earlier.get(field) ?? ''
    const latest = later.get(field) ?? ''
    return old === latest ? [] : [{ part, name: after.name, change: 'changed' as const, field, before: old, after: latest }]
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
