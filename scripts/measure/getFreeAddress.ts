/*
 * Finds local addresses for the processes of a measurement.
 */
import { once } from "node:events";
import { AddressInfo, createServer } from "node:net";

/** Gets a loopback address with a free port. */
export async function getFreeAddress(): Promise<string> {
    const server = createServer();
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return `127.0.0.1:${port}`;
}
