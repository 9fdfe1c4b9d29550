/** Renders the request counts of a day, summed over the nodes, as a self-contained HTML page. */
import { DAY_OUTCOMES } from '../../events/index.js'
import type { DayOutcome, DaySummary } from '../../events/index.js'
import { countText, timeText } from '../../report/index.js'
import { html } from './markup.js'
import { stackedPlot } from './plots.js'
import { STYLE } from './report-style.js'

/** Legend texts of the outcomes. */
const OUTCOME_TEXT: Readonly<Record<DayOutcome, string>> = {
  served: 'first answer in time',
  late: 'first answer late',
  refused: 'not run',
  lost: 'not answered, may have run',
  left: 'left by the caller'
}

/** Style sheet classes of the outcomes. */
const OUTCOME_CLASS: Readonly<Record<DayOutcome, string>> = { served: 'served', late: 'late', refused: 'refused', lost: 'lost', left: 'open' }

/**
 * Renders the page.
 *
 * @returns a complete HTML document without external references
 * @example
 * writeFileSync('day.html', dayPage(summarizeDay(lines, 2_000)))
 */
export function dayPage (day: DaySummary): string {
  const from = day.parts[0]?.from ?? 0
  const bars = day.parts.map((part) => DAY_OUTCOMES.map((outcome) => ({ className: OUTCOME_CLASS[outcome], count: part.sums[outcome], text: OUTCOME_TEXT[outcome] })))
  const labels = day.parts.map((part) => new Date(part.from).toISOString().slice(11, 19))
  return html`<!doctype html>
<html lang="en">
<head><meta charset="utf-8"><title>Requests over time, from ${timeText(from)}</title><style>${{ markup: STYLE }}</style></head>
<body>
<header><h1>Requests over time</h1><p>From ${timeText(from)}, ${countText(day.processes.length)} nodes, parts of ${countText(day.step / 1_000)} s, by the time of the end.</p></header>
<p class="legend">${DAY_OUTCOMES.map((outcome) => html`<span><i class="${OUTCOME_CLASS[outcome]}"></i>${OUTCOME_TEXT[outcome]}: ${countText(day.total[outcome])}</span>`)}</p>
${stackedPlot(bars, labels, 'requests by part of the day')}
<footer>From the sums that nodes write; a node that is killed takes those since its last line with it.</footer>
</body>
</html>
`.markup
}
