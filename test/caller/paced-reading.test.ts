import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import type { Socket } from 'node:net'
import { describe, it } from 'node:test'
import { notePiece } from '../../src/caller/read-turns.js'

describe('connections whose bytes come in small pieces', () => {
  function createSocket (): { readonly socket: Socket, isRead: boolean } {
    const state = { socket: undefined as unknown as Socket, isRead: true }
    state.socket = Object.assign(new EventEmitter(), { pause: () => { state.isRead = false }, resume: () => { state.isRead = true } }) as unknown as Socket
    return state
  }

  const nextTurn = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))

  function readSmallPieces (socket: Socket, pieces: number): void {
    for (let piece = 0; piece < pieces; piece += 1) notePiece(socket, 1)
  }

  // Guards against a turn of the event loop in which all of them are read.
  it('are read one in each turn of the event loop', async () => {
    const connections = Array.from({ length: 4 }, createSocket)
    for (const { socket } of connections) readSmallPieces(socket, 10_000)
    assert.ok(connections.every(({ isRead }) => !isRead))
    for (let turn = 1; turn <= connections.length; turn += 1) {
      await nextTurn()
      assert.equal(connections.filter(({ isRead }) => isRead).length, turn)
    }
  })

  // Guards against slowing ordinary bodies down.
  it('are read on where the pieces are few, or of a usual size', () => {
    const few = createSocket()
    readSmallPieces(few.socket, 400)
    const usual = createSocket()
    for (let piece = 0; piece < 10_000; piece += 1) notePiece(usual.socket, 1_000)
    assert.ok(few.isRead && usual.isRead)
  })
})
