/**
 * Stands for node:http2, which undici loads though nothing here speaks HTTP/2: loading it, with the TLS code that it
 * brings, took 36 of 126 ms of a process's start.
 */
module.exports = { constants: {} }
