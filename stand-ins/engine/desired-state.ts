/** Desired state of an engine stand-in: accepts orders, with or without a fencing check, and loads weights, which takes time. */
import type { EngineOrder } from '../../src/protocols/engine.js'

/** Loaded models and adapters of an engine, and the orders it has accepted. */
export interface DesiredState {
  /** @returns whether the order was accepted; a stale order is refused */
  order (order: EngineOrder): boolean
  models (): readonly string[]
  adapters (): readonly string[]
  role (): EngineOrder['role']
  generation (): number
  /** Accepted orders, oldest first. */
  readonly obeyed: readonly EngineOrder[]
}

/** Dependencies of the desired state on its engine. */
export interface DesiredStateOptions {
  readonly checkFencing: boolean
  readonly models: readonly string[]
  readonly adapters: readonly string[]
  readonly loadWeights: (name: string, signal: AbortSignal) => Promise<void>
  readonly signal: AbortSignal
}

/**
 * Creates the state with the models and adapters that are loaded at the start.
 *
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

  /** Unloads the old model first, since both models do not fit in memory. A newer order aborts the loading. */
  async function load (order: EngineOrder): Promise<void> {
    loading.abort()
    loading = new AbortController()
    const signal = AbortSignal.any([loading.signal, options.signal])
    const modelId = modelName(order)
    if (!models.includes(modelId)) {
      models = []
      adapters = []
      await options.loadWeights(modelId, signal)
      models = [modelId]
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

/** Version 1 has the model's name without a version suffix. */
function modelName (order: EngineOrder): string {
  return order.version === '1' ? order.model : `${order.model}@${order.version}`
}
