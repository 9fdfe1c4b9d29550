/**
 * Values by names that other processes choose.
 *
 * Failure guarded against: an upstream or a service is called `constructor` or `__proto__`. Such a name reads a property that every object
 * inherits, or replaces the prototype of the object, and the sums with it are no numbers or throw.
 */

/**
 * Returns the value of a name, without what objects inherit.
 *
 * @example
 * valueOf(report.demand, 'constructor') // undefined
 */
export function valueOf<Value> (values: Readonly<Record<string, Value>>, name: string): Value | undefined {
  return Object.hasOwn(values, name) ? values[name] : undefined
}

/**
 * Merges the values that several nodes report by name.
 *
 * @param combine merges a value with that of the nodes before, which is undefined for the first one of a name
 * @example
 * mergeByName([{ a: 1 }, { a: 2, b: 1 }], (known = 0, count) => known + count) // { a: 3, b: 1 }
 */
export function mergeByName<Name extends string, Value> (reports: readonly Readonly<Record<Name, Value>>[], combine: (known: Value | undefined, next: Value) => Value): Record<Name, Value> {
  const merged = new Map<string, Value>()
  for (const report of reports) {
    for (const [name, value] of Object.entries<Value>(report)) merged.set(name, combine(merged.get(name), value))
  }
  // Unlike an assignment, this makes `__proto__` an ordinary property.
  return Object.fromEntries(merged) as Record<Name, Value>
}
