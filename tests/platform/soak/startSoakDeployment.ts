/*
 * Starts control members, entry processes, engines and plain services, each on its own loopback address.
 */
import { join } from "node:path";
import { createRandomSource } from "../../../src/runtime";
import { createSoakAnswerFaults } from "./createSoakAnswerFaults";
import { createSoakRequestLimit } from "./createSoakRequestLimit";
import { getSoakSize } from "./getSoakSize";
import { RunTracker } from "./RunTracker";
import { SoakDeployment } from "./SoakDeployment";
import { soakPorts } from "./soakPorts";
import { soakSoftwareVersions } from "./soakSoftwareVersions";
import { startMemberLinks } from "./startMemberLinks";
import { startSoakBackend } from "./startSoakBackend";
import { startSoakPlatformList } from "./startSoakPlatformList";
import { startSoakProcess } from "./startSoakProcess";
import { SoakProxy, startSoakProxy } from "./startSoakProxy";

const firstControlNumber = 1;
/** The first numbers of the small deployment; those of a larger one come after them. */
const firstNumbers = { entry: 11, engine: 21, plainService: 31, larger: 51 };
const numbersPerRange = 9;
const platformListNumber = 41;
/** The engine that names a limit for some time, in all but one of this many neighbouring seeds. */
const limitedNumber = 22;
const seedsPerLimit = 2;
/** Keeps the seeds of backend servers apart in runs with neighbouring seeds. */
const backendSeedDistance = 1_000_003;

/**
 * Starts a deployment. Proxies stand before the backend servers, the platform's list, and the listeners for callers and
 * operators.
 * @param network - The first three numbers of all its loopback addresses.
 * @param folder - The folder for the processes' settings, data and logs.
 * @param runTracker - Records the runs at the backend servers.
 * @param seed - Determines which responses the backend servers break off.
 */
export async function startSoakDeployment(
    network: string,
    folder: string,
    runTracker: RunTracker,
    seed: number,
): Promise<SoakDeployment> {
    const getIp = (number: number) => `${network}.${number}`;
    const { controlNumbers, entryNumbers, engineNumbers, plainServiceNumbers } = getNumbers(seed);
    const { hasAnswerFaults, hasMemberLosses } = getSoakSize(seed);
    const backends = await Promise.all([...engineNumbers, ...plainServiceNumbers].map(number => {
        const isEngine = engineNumbers.includes(number);
        const service = isEngine ? "engines" : "actions";
        const random = createRandomSource(seed + number * backendSeedDistance);
        return startSoakBackend({
            ip: getIp(number),
            name: `${service}-${number}`,
            service,
            isEngine,
            softwareVersion: soakSoftwareVersions[number % soakSoftwareVersions.length]!,
            requestLimit: number === limitedNumber && seed % seedsPerLimit !== 0
                ? createSoakRequestLimit(random, runTracker)
                : undefined,
            answerFaults: hasAnswerFaults ? createSoakAnswerFaults(random) : undefined,
            runTracker,
            random,
        });
    }));
    const platformList = await startSoakPlatformList(
        getIp(platformListNumber),
        () => backends.map(backend => backend.getListEntry()),
    );
    const platformListPort = (platformList.address() as { port: number; }).port;
    const platformListProxy = await startSoakProxy(
        getIp(platformListNumber),
        `${getIp(platformListNumber)}:${platformListPort}`,
    );
    const seedAddresses = controlNumbers.map(number => `${getIp(number)}:${soakPorts.operator}`);
    const memberLinks: SoakProxy[] = [];
    const startProcess = async (role: "entry" | "control", number: number) => {
        const links = hasMemberLosses ? await startMemberLinks(getIp(number), controlNumbers.map(getIp)) : undefined;
        memberLinks.push(...links?.links ?? []);
        return startSoakProcess({
            redirections: links?.redirections,
            ip: getIp(number),
            role,
            folder: join(folder, `${role}-${number}`),
            seedAddresses,
            listAddress: platformListProxy.address,
        });
    };
    const controls = await Promise.all(controlNumbers.map(number => startProcess("control", number)));
    const entries = await Promise.all(entryNumbers.map(number => startProcess("entry", number)));
    const operatorProxies = await Promise.all(
        controls.map(({ ip }) => startSoakProxy(ip, `${ip}:${soakPorts.operator}`)),
    );
    const callerProxies = await Promise.all(
        entries.map(({ ip }) => startSoakProxy(ip, `${ip}:${soakPorts.caller}`)),
    );
    const proxies = [...backends.map(({ proxy }) => proxy), platformListProxy, ...operatorProxies, ...callerProxies];
    return {
        controls,
        entries,
        backends,
        proxies,
        callerProxies,
        memberLinks,
        callerAddresses: callerProxies.map(proxy => proxy.address),
        operatorAddresses: operatorProxies.map(proxy => proxy.address),
        stop: async () => {
            await Promise.all([...controls, ...entries].map(process => process.stop()));
            [...proxies, ...memberLinks].forEach(proxy => proxy.stop());
            backends.forEach(backend => backend.stop());
            platformList.close();
            platformList.closeAllConnections();
        },
    };
}

/** Gets the last numbers of the addresses. */
function getNumbers(seed: number) {
    const { controlCount, entryCount, engineCount, plainServiceCount } = getSoakSize(seed);
    let nextNumber = firstNumbers.larger;
    const getRange = (first: number, count: number, maximumCount: number) =>
        Array.from({ length: count }, (...[, index]) => index < maximumCount ? first + index : nextNumber++);
    return {
        controlNumbers: getRange(firstControlNumber, controlCount, numbersPerRange),
        entryNumbers: getRange(firstNumbers.entry, entryCount, numbersPerRange),
        engineNumbers: getRange(firstNumbers.engine, engineCount, numbersPerRange),
        plainServiceNumbers: getRange(firstNumbers.plainService, plainServiceCount, numbersPerRange),
    };
}
