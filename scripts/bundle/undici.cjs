// The part of undici that the platform's programs use. Its index also loads fetch, mocks, proxies and caches, which took 35 ms of
// each start.
"use strict";
const api = require("undici/lib/api");
const buildConnector = require("undici/lib/core/connect");
const errors = require("undici/lib/core/errors");
const Agent = require("undici/lib/dispatcher/agent");
const Client = require("undici/lib/dispatcher/client");
const Dispatcher = require("undici/lib/dispatcher/dispatcher");
const { getGlobalDispatcher } = require("undici/lib/global");

Object.assign(Dispatcher.prototype, api);

/** Sends a request to an address that is given as text. */
function request(address, options = {}) {
    const { origin, pathname, search } = new URL(address);
    const { dispatcher = getGlobalDispatcher(), method = "GET" } = options;
    return api.request.call(dispatcher, { ...options, origin, path: `${pathname}${search}`, method });
}

module.exports = { Agent, buildConnector, Client, Dispatcher, errors, request };
