// The part of undici that the platform's programs use. Its index also loads fetch, mocks, proxies and caches, which took 35 ms of
// each start.
import api from "undici/lib/api";
import buildConnector from "undici/lib/core/connect";
import errors from "undici/lib/core/errors";
import Agent from "undici/lib/dispatcher/agent";
import Client from "undici/lib/dispatcher/client";
import Dispatcher from "undici/lib/dispatcher/dispatcher";
import { getGlobalDispatcher } from "undici/lib/global";

Object.assign(Dispatcher.prototype, api);

/** Sends a request to an address that is given as text. */
export function request(address, options = {}) {
    const { origin, pathname, search } = new URL(address);
    const { dispatcher = getGlobalDispatcher(), method = "GET" } = options;
    return api.request.call(dispatcher, { ...options, origin, path: `${pathname}${search}`, method });
}

export { Agent, buildConnector, Client, Dispatcher, errors };
