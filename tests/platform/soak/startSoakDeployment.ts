/*
 * Starts three control members, two entries, three engines and two plain services, each on a loopback address of its own.
 */
import { join } from "node:path";
import { RunLedger } from "./RunLedger";
import { SoakDeployment } from "./SoakDeployment";
import { soakPorts } from "./soakPorts";
import { startSoakBackend } from "./startSoakBackend";
import { startSoakList } from "./startSoakList";
import { startSoakProcess } from "./startSoakProcess";
import { startSoakProxy } from "./startSoakProxy";

const controlNumbers = [1, 2, 3];
const entryNumbers = [11, 12];
const engineNumbers = [21, 22, 23];
const actionNumbers = [31, 32];
const listNumber = 41;

/**
 * Starts a deployment.
 * @param network - The first three numbers of its loopback addresses.
 * @param folder - Where its processes keep settings, data and logs.
 * @param ledger - Told of the backend servers' runs.
 */
export async function startSoakDeployment(
    network: string,
    folder: string,
    ledger: RunLedger,
): Promise<SoakDeployment> {
    const getIp = (number: number) => `${network}.${number}`;
    const backends = await Promise.all([...engineNumbers, ...actionNumbers].map(number => {
        const isEngine = engineNumbers.includes(number);
        const service = isEngine ? "engines" : "actions";
        return startSoakBackend({ ip: getIp(number), name: `${service}-${number}`, service, isEngine, ledger });
    }));
    const backendProxies = await Promise.all(
        backends.map(backend => startSoakProxy(backend.address.split(":")[0]!, backend.address)),
    );
    const list = await startSoakList(
        getIp(listNumber),
        () => backends.map((backend, place) => backend.getListEntry(backendProxies[place]!.address)),
    );
    const listPort = (list.address() as { port: number; }).port;
    const listProxy = await startSoakProxy(getIp(listNumber), `${getIp(listNumber)}:${listPort}`);
    const seedAddresses = controlNumbers.map(number => `${getIp(number)}:${soakPorts.operator}`);
    const startProcess = (role: "entry" | "control", number: number) =>
        startSoakProcess({
            ip: getIp(number),
            role,
            folder: join(folder, `${role}-${number}`),
            seedAddresses,
            listAddress: listProxy.address,
        });
    const controls = controlNumbers.map(number => startProcess("control", number));
    const entries = entryNumbers.map(number => startProcess("entry", number));
    const operatorProxies = await Promise.all(
        controls.map(({ ip }) => startSoakProxy(ip, `${ip}:${soakPorts.operator}`)),
    );
    const callerProxies = await Promise.all(
        entries.map(({ ip }) => startSoakProxy(ip, `${ip}:${soakPorts.caller}`)),
    );
    const proxies = [...backendProxies, listProxy, ...operatorProxies, ...callerProxies];
    return {
        controls,
        entries,
        backends,
        proxies,
        callerAddresses: callerProxies.map(proxy => proxy.address),
        operatorAddresses: operatorProxies.map(proxy => proxy.address),
        stop: async () => {
            await Promise.all([...controls, ...entries].map(process => process.stop()));
            proxies.forEach(proxy => proxy.stop());
            backends.forEach(backend => backend.stop());
            list.close();
            list.closeAllConnections();
        },
    };
}
