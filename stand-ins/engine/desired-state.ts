/** Orders of an engine stand-in: desired state, fencing checked or ignored, weights that take time. */
import type { EngineOrder } from '../../src/protocols/engine.js'

/** What an engine holds and has been told to hold. */
export interface DesiredState {
  /** @returns whether the order was obeyed */
  order (order: EngineOrder): boolean
  models (): readonly string[]
  adapters (): readonly string[]
  role (): EngineOrder['role']
  generation (): number
  /** Orders obeyed, oldest first. */
  readonly obeyed: readonly EngineOrder[]
}

/** What it needs from its engine. */
export interface DesiredStateOptions {
  readonly checkFencing: boolean
  readonly models: readonly string[]
  readonly adapters: readonly string[]
  readonly loadWeights: (name: string, signal: AbortSignal) => Promise<void>
  readonly signal: AbortSignal
}

/**
 * @example
 * const state = createDesiredState({ checkFencing: true, models: [], adapters: [], loadWeights, signal })
 */
export function createDesiredState (options: DesiredStateOptions): DesiredState {
  const obeyed: EngineOrder[] = []
  let models = [...options.models]
  let adapters = [...options.adapters]
  let loading = new AbortController()
  let highestFencing = 0

  function isStale (order: EngineOrder): boolean {
    if (!options.checkFencing) return false
    const last = obeyed.at(-1)
    return order.fencing < highestFencing || (order.fencing === highestFencing && last !== undefined && order.generation < last.generation)
  }

  /** Old weights go first: they do not fit beside the new ones. A newer order ends the loading. */
  async function load (order: EngineOrder): Promise<void> {
    loading.abort()
    loading = new AbortController()
    const signal = AbortSignal.any([loading.signal, options.signal])
    const wanted = modelName(order)
    if (!models.includes(wanted)) {
      models = []
      adapters = []
      await options.loadWeights(wanted, signal)
      models = [wanted]
    }
    adapters = adapters.filter((adapter) => order.adapters.includes(adapter))
    for (const adapter of order.adapters.filter((name) => !adapters.includes(name))) {
      await options.loadWeights(adapter, signal)
      adapters = [...adapters, adapter]
    }
  }

  return {
    order: (order) => {
      if (isStale(order)) return false
      highestFencing = Math.max(highestFencing, order.fencing)
      obeyed.push(order)
      load(order).catch(() => {})
      return true
    },
    models: () => models,
    adapters: () => adapters,
    role: () => obeyed.at(-1)?.role ?? 'mixed',
    generation: () => obeyed.at(-1)?.generation ?? 0,
    obeyed
  }
}

/** The first version goes by the model's bare name. */
function modelName (order: EngineOrder): string {
  return order.version === '1' ? order.model : `${order.model}@${order.version}`
}
