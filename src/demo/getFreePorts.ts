/*
 * Finds free ports for processes whose addresses must be configured before they start.
 */
import { once } from "node:events";
import { AddressInfo, createServer } from "node:net";

/**
 * Gets free ports on loopback.
 * @param count - The number of ports.
 * @returns The ports; another process can take them before they are used.
 */
export async function getFreePorts(count: number): Promise<readonly number[]> {
    const servers = [...Array(count).keys()].map(() => createServer().listen(0, "127.0.0.1"));
    await Promise.all(servers.map(server => once(server, "listening")));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => once(server.close(), "close")));
    return ports;
}
