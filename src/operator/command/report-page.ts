/** Renders a report as a self-contained HTML page for managers: statements first, then plots, then all figures. */
import { countText, durationText, moneyText, percentText, timeText } from '../../report/index.js'
import type { LatencySummary, ReportDocument, ReportLine } from '../../report/index.js'
import { html } from './markup.js'
import type { Markup } from './markup.js'
import { hourPlot, latencyBar, outcomeBar, OUTCOMES, OUTCOME_TEXT } from './plots.js'
import { STYLE } from './report-style.js'

/** Phrases that identify statements which need attention. The page highlights such statements. */
const ALARM_PHRASES = ['MISSED', 'GAP', 'DO NOT AGREE', 'overdue', 'nobody can tell', 'not answered']

/**
 * Renders the page.
 *
 * @returns a complete HTML document without external references
 * @example
 * writeFileSync('report.html', reportPage(document))
 */
export function reportPage (document: ReportDocument): string {
  const range = `${timeText(document.from)} to ${timeText(document.to)}`
  return html`<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>${document.deployment}: who got what, ${range}</title>
<style>${{ markup: STYLE }}</style>
</head>
<body>
<header>
<h1>${document.deployment}: who got what</h1>
<p>${range}. Made ${timeText(document.madeAt)} by hornbeamgap.</p>
</header>
${summaryCards(document)}
<section>
<h2>In words</h2>
<ul class="statements">${document.statements.map(statementItem)}</ul>
</section>
<section>
<h2>By class of work</h2>
${legend()}
${document.classes.map((line) => classSection(document, line))}
</section>
<section>
<h2>By organisation</h2>
${organisationTable(document)}
</section>
<section>
<h2>All figures</h2>
${figureTable(document)}
</section>
<footer>Asked = served in time + served late + refused + lost + unknown + open. Refused requests were not run. A lost request was accepted and not answered, and its caller was told. Unknown means that nobody can tell whether the work was done. Quantiles come from merged histograms and are within 1% of the measured duration. A request counts in the hour in which it came in.</footer>
</body>
</html>
`.markup
}

function summaryCards (document: ReportDocument): Markup {
  const { total } = document
  const { sums } = total
  const cards: Markup[] = [
    card('asked', countText(sums.asked)),
    card('in time', total.inTime.achieved === undefined ? '-' : percentText(total.inTime.achieved), 'of the answers'),
    card('answered', total.reliability.achieved === undefined ? '-' : percentText(total.reliability.achieved), 'of what ended'),
    card('refused', countText(sums.refused), 'not run'),
    card('lost', countText(sums.lost), undefined, sums.lost > 0),
    card('unknown', countText(sums.unknown), undefined, sums.unknown > 0),
    card('gaps', countText(document.gaps.length + document.overdue.length), 'nodes gone without a last report', document.gaps.length + document.overdue.length > 0)
  ]
  if (total.costPerThousandInTime !== undefined) cards.push(card('cost', moneyText(total.costPerThousandInTime), 'for 1,000 answers in time'))
  return html`<section class="cards">${cards}</section>`
}

function card (title: string, value: string, remark = '', alarming = false): Markup {
  return html`<div class="card"><span>${title}</span><strong class="${alarming ? 'bad' : ''}">${value}</strong><small>${remark}</small></div>`
}

function statementItem (text: string): Markup {
  const alarming = ALARM_PHRASES.some((word) => text.includes(word))
  return html`<li class="${alarming ? 'alarm' : ''}">${text}</li>`
}

function legend (): Markup {
  return html`<p class="legend">${OUTCOMES.map((name) => html`<span><i class="${name}"></i>${OUTCOME_TEXT[name]}</span>`)}<span><i class="mark"></i>target</span><span>The pale stripe in a latency bar ends at the median.</span></p>`
}

function classSection (document: ReportDocument, line: ReportLine): Markup {
  const organisationLines = document.lines.filter((part) => part.class === line.class)
  return html`<article>
<h3>${line.class ?? ''}</h3>
<p>${classSummary(line)}</p>
<table class="bars"><tbody>
${latencyBar('First token', line.firstToken)}
${latencyBar('Between tokens', line.betweenTokens)}
${latencyBar('Whole answer', line.wholeAnswer)}
</tbody></table>
<h4>By hour</h4>
${hourPlot(document, line.class ?? '')}
<h4>By organisation</h4>
<table class="bars"><tbody>${organisationLines.map(organisationBar)}</tbody></table>
</article>`
}

function classSummary (line: ReportLine): string {
  const { sums, reliability } = line
  const target = reliability.target === undefined ? '' : ` (target ${percentText(reliability.target)})`
  const answered = reliability.achieved === undefined ? '' : ` ${percentText(reliability.achieved)}${target} of what ended was answered.`
  const cost = line.cost === undefined ? '' : ` Its share of the cost is ${moneyText(line.cost)}.`
  return `${countText(sums.asked)} asked.${answered}${cost}`
}

function organisationBar (line: ReportLine): Markup {
  const achieved = [
    quantileText('first token', line.firstToken),
    quantileText('whole answer', line.wholeAnswer)
  ].filter((text) => text !== undefined).join(', ')
  return html`<tr><th scope="row">${line.organisation ?? ''}</th><td>${outcomeBar(line.sums)}</td><td>${countText(line.sums.asked)} asked</td><td>${achieved}</td></tr>`
}

function quantileText (what: string, latency: LatencySummary | undefined): string | undefined {
  if (latency === undefined) return undefined
  const missed = latency.target !== undefined && latency.achieved > latency.target ? ' MISSED' : ''
  return `${what} ${durationText(latency.achieved)}${missed}`
}

function organisationTable (document: ReportDocument): Markup {
  return html`<table class="bars"><tbody>${document.organisations.map((line) => html`<tr><th scope="row">${line.organisation ?? ''}</th><td>${outcomeBar(line.sums)}</td><td>${countText(line.sums.asked)} asked</td><td>${organisationText(line)}</td></tr>`)}</tbody></table>`
}

function organisationText (line: ReportLine): string {
  const answered = line.reliability.achieved === undefined ? '' : `${percentText(line.reliability.achieved)} answered, `
  const cost = line.cost === undefined ? '' : `, cost ${moneyText(line.cost)}`
  return `${answered}${countText(line.generatedTokens)} tokens${cost}`
}

function figureTable (document: ReportDocument): Markup {
  const headings = ['class', 'organisation', 'asked', ...OUTCOMES.map((name) => OUTCOME_TEXT[name]), 'first token', 'between tokens', 'whole answer', 'tokens', 'recomputed', 'cost']
  const rows = [...document.lines, ...document.classes, document.total].map((line) => figureRow(line))
  return html`<div class="scroll"><table class="figures"><thead><tr>${headings.map((head) => html`<th scope="col">${head}</th>`)}</tr></thead><tbody>${rows}</tbody></table></div>`
}

function figureRow (line: ReportLine): Markup {
  const cells = [
    countText(line.sums.asked),
    ...OUTCOMES.map((name) => countText(line.sums[name])),
    ...[line.firstToken, line.betweenTokens, line.wholeAnswer].map((latency) => latency === undefined ? '-' : durationText(latency.achieved)),
    countText(line.generatedTokens),
    countText(line.recomputedTokens),
    line.cost === undefined ? '-' : moneyText(line.cost)
  ]
  const isSum = line.organisation === undefined
  return html`<tr class="${isSum ? 'sum' : ''}"><th scope="row">${line.class ?? 'all'}</th><td class="name">${line.organisation ?? 'all'}</td>${cells.map((cell) => html`<td>${cell}</td>`)}</tr>`
}
