/**
 * The part of undici that a gateway node runs: its pools and their `request`. The build takes this module
 * for the whole package, of which fetch, WebSocket, caches and mocks took 25 of 110 ms of each start.
 */
const Dispatcher = require('../../node_modules/undici/lib/dispatcher/dispatcher')
const Agent = require('../../node_modules/undici/lib/dispatcher/agent')
const Pool = require('../../node_modules/undici/lib/dispatcher/pool')
const api = require('../../node_modules/undici/lib/api')

Object.assign(Dispatcher.prototype, api)

module.exports = { Agent, Pool }
