/** Lines that gateway nodes write, and what can be told from them afterwards. */
export { EVENTS } from './catalogue.js'
export type { EventFacts, EventLog, EventName } from './catalogue.js'
export { readLine } from './line.js'
export type { Facts, LoggedLine } from './line.js'
export { tellStory } from './story.js'
export type { Gap, Story, StoryEnd, StoryEntry } from './story.js'
export { DAY_OUTCOMES, summarizeDay } from './day.js'
export type { DayOutcome, DayPart, DaySummary, DaySums } from './day.js'
