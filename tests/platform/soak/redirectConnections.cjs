/*
 * Preloaded into processes of a soak: connects to proxies in place of the listeners before which they stand. The addresses
 * come from an environment variable, as an object from `ip:port` to `ip:port`.
 */
"use strict";
const { Socket } = process.getBuiltinModule("node:net");

const redirections = JSON.parse(process.env.SOAK_REDIRECTIONS ?? "{}");
const connect = Socket.prototype.connect;

Socket.prototype.connect = function(...parameters) {
    // Within Node.js the parameters come as one array, which holds the options first.
    const options = Array.isArray(parameters[0]) ? parameters[0][0] : parameters[0];
    const target = typeof options === "object" ? redirections[`${options.host}:${options.port}`] : undefined;
    if (target !== undefined) {
        const [host, port] = target.split(":");
        Object.assign(options, { host, port: Number(port) });
    }
    return connect.apply(this, parameters);
};
