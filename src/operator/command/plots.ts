/** Plots of the report's page as inline SVG. Each plot has an ARIA label that states its content for screen readers. */
import { HOUR } from '../../clock.js'
import { countText, durationText, meetsTarget, percentText } from '../../report/index.js'
import type { LatencySummary, ReportDocument, RequestSums } from '../../report/index.js'
import { html } from './markup.js'
import type { Markup } from './markup.js'

/** Outcomes in stacking order. */
export const OUTCOMES = ['served', 'late', 'refused', 'lost', 'unknown', 'open'] as const
export type OutcomeName = typeof OUTCOMES[number]

/** Texts of the outcomes in legends and table headings. */
export const OUTCOME_TEXT: Readonly<Record<OutcomeName, string>> = {
  served: 'served in time',
  late: 'served late',
  refused: 'refused',
  lost: 'lost',
  unknown: 'unknown',
  open: 'open'
}

/** Sizes in units of the SVG view boxes. */
const BAR_WIDTH = 640
const BAR_HEIGHT = 18

/** Upper end of a latency bar's scale, as a multiple of the larger of achieved latency and target. */
const TARGET_HEADROOM = 1.25

const PLOT_HEIGHT = 140
const PLOT_WIDTH = 860
const AXIS_WIDTH = 48
const LABEL_LINE_HEIGHT = 16

/** Minimum distance between labels, so that they do not overlap. */
const LABEL_WIDTH = 60

/**
 * Renders the outcomes of requests as a stacked bar.
 *
 * @example
 * outcomeBar(line.sums)
 */
export function outcomeBar (sums: RequestSums): Markup {
  if (sums.asked === 0) return html`<p class="quiet">no requests</p>`
  let left = 0
  const parts = OUTCOMES.filter((name) => sums[name] > 0).map((name) => {
    const width = sums[name] / sums.asked * BAR_WIDTH
    const part = html`<rect class="${name}" x="${roundToHundredths(left)}" y="0" width="${roundToHundredths(width)}" height="${BAR_HEIGHT}"><title>${OUTCOME_TEXT[name]}: ${countText(sums[name])}</title></rect>`
    left += width
    return part
  })
  const description = OUTCOMES.filter((name) => sums[name] > 0).map((name) => `${countText(sums[name])} ${OUTCOME_TEXT[name]}`).join(', ')
  return html`<svg class="bar" role="img" aria-label="${description}" viewBox="0 0 ${BAR_WIDTH} ${BAR_HEIGHT}" preserveAspectRatio="none">${parts}</svg>`
}

/**
 * Renders a table row with the achieved latency as a bar and its target as a mark. The inner bar ends at the median. Returns
 * empty markup without a latency.
 *
 * @example
 * latencyBar('First token', line.firstToken)
 */
export function latencyBar (title: string, latency: LatencySummary | undefined): Markup {
  if (latency === undefined) return html``
  const scale = BAR_WIDTH / (Math.max(latency.achieved, latency.target ?? 0, 1) * TARGET_HEADROOM)
  const met = meetsTarget(latency)
  const verdict = met === undefined ? 'no target' : met ? 'met' : 'missed'
  const description = `${percentText(latency.quantile)} of ${countText(latency.count)} answers within ${durationText(latency.achieved)}`
  const target = latency.target === undefined ? '' : `, target ${durationText(latency.target)}`
  const targetMark = latency.target === undefined ? html`` : html`<line class="target" x1="${roundToHundredths(latency.target * scale)}" x2="${roundToHundredths(latency.target * scale)}" y1="-3" y2="${BAR_HEIGHT + 3}"/>`
  return html`<tr><th scope="row">${title}</th>
<td><svg class="bar" role="img" aria-label="${title}: ${description}${target}" viewBox="0 -3 ${BAR_WIDTH} ${BAR_HEIGHT + 6}" preserveAspectRatio="none">
<rect class="${verdict === 'missed' ? 'missed' : 'met'}" x="0" y="0" width="${roundToHundredths(latency.achieved * scale)}" height="${BAR_HEIGHT}"/>
<rect class="median" x="0" y="${BAR_HEIGHT / 3}" width="${roundToHundredths(latency.median * scale)}" height="${BAR_HEIGHT / 3}"/>${targetMark}</svg></td>
<td>${description}${target}</td><td class="${verdict === 'missed' ? 'bad' : 'good'}">${verdict}</td></tr>`
}

/** One segment of a stacked bar. */
export interface BarSegment {
  /** Style sheet class. */
  readonly className: string
  readonly count: number
  readonly text: string
}

/**
 * Renders the requests of one class by hour, stacked by outcome.
 *
 * @param name name of the class
 * @example
 * hourPlot(document, requestClass)
 */
export function hourPlot (document: ReportDocument, name: string): Markup {
  const hours = Math.max(1, Math.round((document.to - document.from) / HOUR))
  const bars: BarSegment[][] = Array.from({ length: hours }, () => [])
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
 * Renders stacked bars side by side. Labels are thinned out where they would overlap.
 *
 * @param bars segments of each bar, from bottom to top
 * @param labels label of each bar
 * @param title text of the ARIA label
 * @example
 * stackedPlot([[{ className: 'served', count: 12, text: 'served in time' }]], ['09:00'], 'requests by hour')
 */
export function stackedPlot (bars: readonly (readonly BarSegment[])[], labels: readonly string[], title: string): Markup {
  const maxTotal = Math.max(...bars.map(totalOf), 1)
  const step = (PLOT_WIDTH - AXIS_WIDTH) / Math.max(1, bars.length)
  const labelInterval = Math.max(1, Math.ceil(LABEL_WIDTH / step))
  const labelTexts = labels.map((label, index) => index % labelInterval === 0 ? html`<text x="${roundToHundredths(AXIS_WIDTH + index * step + step / 2)}" y="${PLOT_HEIGHT + LABEL_LINE_HEIGHT - 3}" text-anchor="middle">${label}</text>` : html``)
  return html`<svg class="plot" role="img" aria-label="${title}, at most ${countText(maxTotal)} in one bar" viewBox="0 0 ${PLOT_WIDTH} ${PLOT_HEIGHT + LABEL_LINE_HEIGHT}">
<line class="axis" x1="${AXIS_WIDTH}" x2="${PLOT_WIDTH}" y1="${PLOT_HEIGHT}" y2="${PLOT_HEIGHT}"/>
<line class="grid" x1="${AXIS_WIDTH}" x2="${PLOT_WIDTH}" y1="10" y2="10"/>
<text x="${AXIS_WIDTH - 6}" y="14" text-anchor="end">${countText(maxTotal)}</text><text x="${AXIS_WIDTH - 6}" y="${PLOT_HEIGHT}" text-anchor="end">0</text>
${bars.map((segments, index) => stackedBar(segments, AXIS_WIDTH + index * step, step, maxTotal))}${labelTexts}</svg>`
}

function stackedBar (segments: readonly BarSegment[], left: number, step: number, maxTotal: number): Markup {
  const scale = (PLOT_HEIGHT - 10) / maxTotal
  let bottom = PLOT_HEIGHT
  const parts = segments.filter(({ count }) => count > 0).map(({ className, count, text }) => {
    const height = count * scale
    bottom -= height
    return html`<rect class="${className}" x="${roundToHundredths(left + step * 0.1)}" y="${roundToHundredths(bottom)}" width="${roundToHundredths(step * 0.8)}" height="${roundToHundredths(height)}"><title>${text}: ${countText(count)}</title></rect>`
  })
  return html`${parts}`
}

function totalOf (segments: readonly BarSegment[]): number {
  return segments.reduce((sum, { count }) => sum + count, 0)
}

function roundToHundredths (value: number): number {
  return Math.round(value * 100) / 100
}
