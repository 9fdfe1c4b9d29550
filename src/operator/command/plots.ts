/** Plots of the report's page as inline SVG, each with its content in words for readers who cannot see it. */
import { HOUR } from '../../clock.js'
import { countText, durationText, meetsTarget, percentText } from '../../report/index.js'
import type { LatencySummary, ReportDocument, RequestSums } from '../../report/index.js'
import { html } from './markup.js'
import type { Markup } from './markup.js'

/** Outcomes in the order in which they are stacked. */
export const OUTCOMES = ['served', 'late', 'refused', 'lost', 'unknown', 'open'] as const
export type OutcomeName = typeof OUTCOMES[number]

/** Words for the outcomes in legends and heads. */
export const OUTCOME_TEXT: Readonly<Record<OutcomeName, string>> = {
  served: 'served in time',
  late: 'served late',
  refused: 'refused',
  lost: 'lost',
  unknown: 'unknown',
  open: 'open'
}

const BAR_WIDTH = 640
const BAR_HEIGHT = 18
const TARGET_SPACE = 1.25
const PLOT_HEIGHT = 140
const PLOT_WIDTH = 860
const AXIS = 48
const LABEL_LINE = 16
const LABEL_WIDTH = 60

/**
 * Stacked bar of what became of the requests.
 *
 * @example
 * outcomeBar(line.sums)
 */
export function outcomeBar (sums: RequestSums): Markup {
  if (sums.asked === 0) return html`<p class="quiet">no requests</p>`
  let left = 0
  const parts = OUTCOMES.filter((name) => sums[name] > 0).map((name) => {
    const width = sums[name] / sums.asked * BAR_WIDTH
    const part = html`<rect class="${name}" x="${round(left)}" y="0" width="${round(width)}" height="${BAR_HEIGHT}"><title>${OUTCOME_TEXT[name]}: ${countText(sums[name])}</title></rect>`
    left += width
    return part
  })
  const words = OUTCOMES.filter((name) => sums[name] > 0).map((name) => `${countText(sums[name])} ${OUTCOME_TEXT[name]}`).join(', ')
  return html`<svg class="bar" role="img" aria-label="${words}" viewBox="0 0 ${BAR_WIDTH} ${BAR_HEIGHT}" preserveAspectRatio="none">${parts}</svg>`
}

/**
 * Achieved latency as a bar against its target as a mark.
 *
 * @example
 * latencyBar('First token', line.firstToken)
 */
export function latencyBar (title: string, latency: LatencySummary | undefined): Markup {
  if (latency === undefined) return html``
  const scale = BAR_WIDTH / (Math.max(latency.achieved, latency.target ?? 0, 1) * TARGET_SPACE)
  const met = meetsTarget(latency)
  const verdict = met === undefined ? 'no target' : met ? 'met' : 'missed'
  const words = `${percentText(latency.quantile)} of ${countText(latency.count)} answers within ${durationText(latency.achieved)}`
  const target = latency.target === undefined ? '' : `, target ${durationText(latency.target)}`
  const mark = latency.target === undefined ? html`` : html`<line class="target" x1="${round(latency.target * scale)}" x2="${round(latency.target * scale)}" y1="-3" y2="${BAR_HEIGHT + 3}"/>`
  return html`<tr><th scope="row">${title}</th>
<td><svg class="bar" role="img" aria-label="${title}: ${words}${target}" viewBox="0 -3 ${BAR_WIDTH} ${BAR_HEIGHT + 6}" preserveAspectRatio="none">
<rect class="${verdict === 'missed' ? 'missed' : 'met'}" x="0" y="0" width="${round(latency.achieved * scale)}" height="${BAR_HEIGHT}"/>
<rect class="median" x="0" y="${BAR_HEIGHT / 3}" width="${round(latency.median * scale)}" height="${BAR_HEIGHT / 3}"/>${mark}</svg></td>
<td>${words}${target}</td><td class="${verdict === 'missed' ? 'bad' : 'good'}">${verdict}</td></tr>`
}

/** One piece of a stacked bar. */
export interface BarPiece {
  /** Class in the style sheet. */
  readonly className: string
  readonly count: number
  readonly text: string
}

/**
 * Requests of one class by hour, stacked by outcome.
 *
 * @example
 * hourPlot(document, requestClass)
 */
export function hourPlot (document: ReportDocument, name: string): Markup {
  const hours = Math.max(1, Math.round((document.to - document.from) / HOUR))
  const bars: BarPiece[][] = Array.from({ length: hours }, () => [])
  for (const line of document.periods) {
    if (line.class !== name) continue
    bars[Math.round((line.period - document.from) / HOUR)] = OUTCOMES.map((outcome) => ({ className: outcome, count: line.sums[outcome], text: OUTCOME_TEXT[outcome] }))
  }
  const labels = bars.map((_, hour) => {
    const time = new Date(document.from + hour * HOUR).toISOString()
    return hours > 24 ? time.slice(5, 13).replace('T', ' ') : time.slice(11, 16)
  })
  return stackedPlot(bars, labels, `requests of ${name} by hour`)
}

/**
 * Stacked bars side by side, with as many labels as there is room for.
 *
 * @param bars pieces of each bar, from the bottom up
 * @param title what is shown, for readers who can't see it
 * @example
 * stackedPlot([[{ className: 'served', count: 12, text: 'served in time' }]], ['09:00'], 'requests by hour')
 */
export function stackedPlot (bars: readonly (readonly BarPiece[])[], labels: readonly string[], title: string): Markup {
  const highest = Math.max(...bars.map(sumOf), 1)
  const step = (PLOT_WIDTH - AXIS) / Math.max(1, bars.length)
  const every = Math.max(1, Math.ceil(LABEL_WIDTH / step))
  const marks = labels.map((label, index) => index % every === 0 ? html`<text x="${round(AXIS + index * step + step / 2)}" y="${PLOT_HEIGHT + LABEL_LINE - 3}" text-anchor="middle">${label}</text>` : html``)
  return html`<svg class="plot" role="img" aria-label="${title}, at most ${countText(highest)} in one bar" viewBox="0 0 ${PLOT_WIDTH} ${PLOT_HEIGHT + LABEL_LINE}">
<line class="axis" x1="${AXIS}" x2="${PLOT_WIDTH}" y1="${PLOT_HEIGHT}" y2="${PLOT_HEIGHT}"/>
<line class="grid" x1="${AXIS}" x2="${PLOT_WIDTH}" y1="10" y2="10"/>
<text x="${AXIS - 6}" y="14" text-anchor="end">${countText(highest)}</text><text x="${AXIS - 6}" y="${PLOT_HEIGHT}" text-anchor="end">0</text>
${bars.map((pieces, index) => stackedBar(pieces, AXIS + index * step, step, highest))}${marks}</svg>`
}

function stackedBar (pieces: readonly BarPiece[], left: number, step: number, highest: number): Markup {
  const scale = (PLOT_HEIGHT - 10) / highest
  let bottom = PLOT_HEIGHT
  const parts = pieces.filter(({ count }) => count > 0).map(({ className, count, text }) => {
    const height = count * scale
    bottom -= height
    return html`<rect class="${className}" x="${round(left + step * 0.1)}" y="${round(bottom)}" width="${round(step * 0.8)}" height="${round(height)}"><title>${text}: ${countText(count)}</title></rect>`
  })
  return html`${parts}`
}

function sumOf (pieces: readonly BarPiece[]): number {
  return pieces.reduce((sum, { count }) => sum + count, 0)
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
