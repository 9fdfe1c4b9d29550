/** The settings reference lists exactly the keys of the schemas, so that the documentation cannot become outdated. */
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import { test } from 'node:test'
import * as z from 'zod'
import { configurationSchema } from '../src/configuration/index.js'
import { commandSettingsSchema } from '../src/operator/command/connection.js'
import { plannerSettingsSchema } from '../src/planner/settings.js'
import { entrySettingsSchema } from '../src/settings.js'
import { platformSampleSchema } from '../stand-ins/platform-sample.js'

const REFERENCE = [
  { heading: '## hornbeamgap-entry', schema: entrySettingsSchema },
  { heading: '## hornbeamgap-planner', schema: plannerSettingsSchema },
  { heading: '## hornbeamgap', schema: commandSettingsSchema },
  { heading: '## Configuration', schema: configurationSchema },
  { heading: '## hornbeamgap-stand-ins', schema: platformSampleSchema }
]

/** Elements of a JSON schema that can contain keys. */
interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>
  readonly items?: SchemaNode
  readonly anyOf?: readonly SchemaNode[]
  readonly oneOf?: readonly SchemaNode[]
}

const page = readFileSync('docs/operating/settings.md', 'utf8')

for (const { heading, schema } of REFERENCE) {
  test(`${heading.slice(3)}: every key has a row`, () => {
    const section = page.split(/^(?=## )/m).find((part) => part.startsWith(`${heading}\n`)) ?? ''
    const rows = new Set([...section.matchAll(/^\| `([^`]+)`/gm)].map((match) => match[1]))
    const keys = keysOf(z.toJSONSchema(schema, { io: 'input' }) as SchemaNode)
    assert.ok(keys.length > 0)
    assert.deepEqual([...rows].sort(), [...new Set(keys)].sort())
  })
}

/** Returns the dotted paths of all keys that have a value, including those of tables in arrays. */
function keysOf (node: SchemaNode, path = ''): string[] {
  const variants = [...(node.anyOf ?? []), ...(node.oneOf ?? []), ...(node.items ? [node.items] : [])]
  const nested = Object.entries(node.properties ?? {}).flatMap(([name, child]) => keysOf(child, path === '' ? name : `${path}.${name}`))
  const inside = [...nested, ...variants.filter(hasKeys).flatMap((variant) => keysOf(variant, path))]
  return inside.length === 0 && path !== '' ? [path] : inside
}

/** Whether a schema, or one of its variants, has keys. */
function hasKeys (node: SchemaNode): boolean {
  return node.properties !== undefined || [...(node.anyOf ?? []), ...(node.oneOf ?? []), ...(node.items ? [node.items] : [])].some(hasKeys)
}
