/*
 * An agent of Node.js that reuses connections as the callers of the platform do: it goes by the time that the last response
 * states in `Keep-Alive`, of which it uses up to four fifths. The agent of Node.js drops a second of that time.
 */
import { Agent } from "node:http";
import type { Duplex } from "node:stream";
import { SoakConnectionUse } from "./SoakConnectionUse";

const reusedShare = 0.8;
const millisecondsPerSecond = 1_000;
/** Up to this idle time a connection counts as kept in use, in milliseconds. */
const keptMilliseconds = 300;
/** How late a timer of the caller may run before the connection counts as idle for too long, in milliseconds. */
const toleratedLatenessMilliseconds = 5;

/** The state of one connection. */
export interface LimitedConnection {
    use: SoakConnectionUse;
    idleMilliseconds: number;
    statedMilliseconds: number;
}

/** An agent that goes by the stated limits. */
export interface LimitedAgent {
    readonly agent: Agent;
    /** Records the `Keep-Alive` header of a response on a connection. */
    recordResponse(socket: Duplex, keepAlive: string | undefined): void;
    /** Gets how the connection is used for the present request. */
    getConnection(socket: Duplex): LimitedConnection;
    /** Closes the connections. */
    stop(): void;
}

/** The options of `createLimitedAgent`. */
interface LimitedAgentOptions {
    /** Gets the limit in force, in milliseconds; where it is longer than the stated one, it applies. Undefined for none. */
    getIdleTimeoutMilliseconds?: () => number;
    /** Called when the other end closes a connection that is idle. */
    onIdleClose: (connection: LimitedConnection) => void;
}

/** Creates an agent. */
export function createLimitedAgent({ getIdleTimeoutMilliseconds, onIdleClose }: LimitedAgentOptions): LimitedAgent {
    const agent = new Agent({ keepAlive: true });
    const connections = new WeakMap<Duplex, LimitedConnection>();
    const freeSince = new Map<Duplex, number>();
    const timers = new WeakMap<Duplex, NodeJS.Timeout>();
    agent.keepSocketAlive = keepSocketAlive;
    const reuseSocket = agent.reuseSocket.bind(agent);
    agent.reuseSocket = (socket, request) => {
        recordUse(socket);
        reuseSocket(socket, request);
    };
    return {
        agent,
        recordResponse,
        getConnection,
        stop: () => {
            freeSince.clear();
            agent.destroy();
        },
    };

    function getConnection(socket: Duplex): LimitedConnection {
        return connections.get(socket)
            ?? { use: SoakConnectionUse.Fresh, idleMilliseconds: 0, statedMilliseconds: 0 };
    }

    function recordResponse(socket: Duplex, keepAlive: string | undefined): void {
        const statedMilliseconds = Number(/timeout=(\d+)/.exec(keepAlive ?? "")?.[1] ?? 0) * millisecondsPerSecond;
        connections.set(socket, { ...getConnection(socket), statedMilliseconds });
    }

    function keepSocketAlive(socket: Duplex): boolean {
        const maximumMilliseconds = getMaximumIdleMilliseconds(socket);
        if (maximumMilliseconds === 0) {
            return false;
        }
        if (!timers.has(socket)) {
            socket.once("close", () => recordClose(socket));
        }
        freeSince.set(socket, Date.now());
        // Callers that wait for the limit itself take the connection at the same time.
        const closeMilliseconds = maximumMilliseconds + (getIdleTimeoutMilliseconds ? millisecondsPerSecond : 0);
        timers.set(socket, setTimeout(() => closeUnused(socket), closeMilliseconds));
        return true;
    }

    function getMaximumIdleMilliseconds(socket: Duplex): number {
        const { statedMilliseconds } = getConnection(socket);
        return reusedShare * Math.max(statedMilliseconds, getIdleTimeoutMilliseconds?.() ?? 0);
    }

    function recordUse(socket: Duplex): void {
        clearTimeout(timers.get(socket));
        const { statedMilliseconds } = getConnection(socket);
        const idleMilliseconds = getIdleMilliseconds(socket);
        freeSince.delete(socket);
        connections.set(socket, { use: getUse(socket, idleMilliseconds), idleMilliseconds, statedMilliseconds });
    }

    function getUse(socket: Duplex, idleMilliseconds: number): SoakConnectionUse {
        const { statedMilliseconds } = getConnection(socket);
        const onTimeMilliseconds = idleMilliseconds - toleratedLatenessMilliseconds;
        if (onTimeMilliseconds > getMaximumIdleMilliseconds(socket)) {
            return SoakConnectionUse.IdleTooLong;
        }
        if (onTimeMilliseconds > reusedShare * statedMilliseconds) {
            return SoakConnectionUse.IdleBeyondStated;
        }
        return idleMilliseconds > keptMilliseconds ? SoakConnectionUse.Idle : SoakConnectionUse.Kept;
    }

    function closeUnused(socket: Duplex): void {
        freeSince.delete(socket);
        socket.destroy();
    }

    function recordClose(socket: Duplex): void {
        clearTimeout(timers.get(socket));
        if (freeSince.has(socket)) {
            onIdleClose({ ...getConnection(socket), idleMilliseconds: getIdleMilliseconds(socket) });
            freeSince.delete(socket);
        }
    }

    function getIdleMilliseconds(socket: Duplex): number {
        return Date.now() - (freeSince.get(socket) ?? Date.now());
    }
}
