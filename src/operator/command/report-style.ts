/** Style sheet of the report's page and the day page. */
export const STYLE = `
:root { color-scheme: light; --served: #2f7d5b; --late: #d9a021; --refused: #8a94a6; --lost: #c0392b; --unknown: #7d3c98; --open: #5aa9e6; }
body { font: 15px/1.5 system-ui, sans-serif; color: #1f2933; margin: 0 auto; max-width: 1040px; padding: 24px; }
h1 { font-size: 26px; margin: 0; } h2 { font-size: 20px; margin: 32px 0 8px; border-bottom: 1px solid #d5dae1; } h3 { font-size: 17px; margin: 24px 0 4px; } h4 { font-size: 13px; margin: 12px 0 4px; color: #52606d; font-weight: 600; }
header p, .quiet, footer, small { color: #52606d; } footer { margin-top: 32px; font-size: 13px; border-top: 1px solid #d5dae1; padding-top: 12px; }
.cards { display: flex; flex-wrap: wrap; gap: 12px; margin-top: 16px; }
.card { border: 1px solid #d5dae1; border-radius: 6px; padding: 10px 14px; min-width: 96px; display: flex; flex-direction: column; }
.card span { font-size: 13px; color: #52606d; } .card strong { font-size: 24px; } .card small { font-size: 12px; max-width: 130px; }
.bad { color: #c0392b; } .good { color: #2f7d5b; }
.statements li { margin: 4px 0; } .statements .alarm { font-weight: 600; color: #a93226; }
article { border: 1px solid #e4e7eb; border-radius: 6px; padding: 4px 16px 16px; margin: 12px 0; break-inside: avoid; }
.legend span { margin-right: 16px; font-size: 13px; } .legend i { display: inline-block; width: 12px; height: 12px; margin-right: 5px; vertical-align: -1px; }
.legend .mark { width: 2px; background: #1f2933; }
.bars { border-collapse: collapse; width: 100%; font-size: 13px; } .bars th { text-align: left; font-weight: 600; white-space: nowrap; padding: 3px 10px 3px 0; width: 130px; } .bars td { padding: 3px 8px; } .bars td:nth-child(2) { width: 42%; }
svg.bar { width: 100%; height: 18px; display: block; background: #eef1f4; } svg.plot { width: 100%; height: auto; } svg text { font: 11px system-ui, sans-serif; fill: #52606d; }
rect.served, i.served, rect.met { fill: var(--served); background: var(--served); } rect.late, i.late { fill: var(--late); background: var(--late); }
rect.refused, i.refused { fill: var(--refused); background: var(--refused); } rect.lost, i.lost, rect.missed { fill: var(--lost); background: var(--lost); }
rect.unknown, i.unknown { fill: var(--unknown); background: var(--unknown); } rect.open, i.open { fill: var(--open); background: var(--open); }
rect.median { fill: #ffffff; opacity: .55; } line.target { stroke: #1f2933; stroke-width: 4; } line.axis { stroke: #52606d; } line.grid { stroke: #d5dae1; }
.scroll { overflow-x: auto; } .figures { border-collapse: collapse; font-size: 12px; width: 100%; } .figures th, .figures td { padding: 3px 7px; text-align: right; border-bottom: 1px solid #e4e7eb; white-space: nowrap; } .figures th, .figures .name { text-align: left; } .figures .sum { background: #f5f7fa; font-weight: 600; }
@media print { body { max-width: none; } }
`
