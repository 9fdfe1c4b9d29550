/** Plots of the report's page as inline SVG, each with its content in words for readers who cannot see it. */
import { countText, durationText, meets, percentText } from '../../report/index.js'
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
const HOURS_PER_LABEL_AT_LEAST = 60

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
  const met = meets(latency)
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

/**
 * Requests of one class by hour, stacked by outcome.
 *
 * @example
 * hourPlot(document, requestClass)
 */
export function hourPlot (document: ReportDocument, name: string): Markup {
  const lines = document.periods.filter((line) => line.class === name)
  const highest = Math.max(...lines.map((line) => line.sums.asked), 1)
  const hours = Math.max(1, Math.round((document.to - document.from) / 3_600_000))
  const step = (PLOT_WIDTH - AXIS) / hours
  const bars = lines.map((line) => hourBar(line.sums, AXIS + (line.period - document.from) / 3_600_000 * step, step, highest))
  const labels = hourLabels(document, hours, step)
  return html`<svg class="plot" role="img" aria-label="requests of ${name} by hour, at most ${countText(highest)} in an hour" viewBox="0 0 ${PLOT_WIDTH} ${PLOT_HEIGHT + LABEL_LINE}">
<line class="axis" x1="${AXIS}" x2="${PLOT_WIDTH}" y1="${PLOT_HEIGHT}" y2="${PLOT_HEIGHT}"/>
<line class="grid" x1="${AXIS}" x2="${PLOT_WIDTH}" y1="10" y2="10"/>
<text x="${AXIS - 6}" y="14" text-anchor="end">${countText(highest)}</text><text x="${AXIS - 6}" y="${PLOT_HEIGHT}" text-anchor="end">0</text>
${bars}${labels}</svg>`
}

function hourBar (sums: RequestSums, left: number, step: number, highest: number): Markup {
  const scale = (PLOT_HEIGHT - 10) / highest
  let bottom = PLOT_HEIGHT
  const parts = OUTCOMES.filter((name) => sums[name] > 0).map((name) => {
    const height = sums[name] * scale
    bottom -= height
    return html`<rect class="${name}" x="${round(left + step * 0.1)}" y="${round(bottom)}" width="${round(step * 0.8)}" height="${round(height)}"><title>${OUTCOME_TEXT[name]}: ${countText(sums[name])}</title></rect>`
  })
  return html`${parts}`
}

function hourLabels (document: ReportDocument, hours: number, step: number): Markup[] {
  const every = Math.max(1, Math.ceil(HOURS_PER_LABEL_AT_LEAST / step))
  const labels: Markup[] = []
  for (let hour = 0; hour < hours; hour += every) {
    const time = new Date(document.from + hour * 3_600_000).toISOString()
    labels.push(html`<text x="${round(AXIS + hour * step + step / 2)}" y="${PLOT_HEIGHT + LABEL_LINE - 3}" text-anchor="middle">${hours > 24 ? time.slice(5, 13).replace('T', ' ') : time.slice(11, 16)}</text>`)
  }
  return labels
}

function round (value: number): number {
  return Math.round(value * 100) / 100
}
