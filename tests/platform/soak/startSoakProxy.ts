/*
 * A TCP proxy on a loopback address that can hold, delay, drop or reset the connections that pass through it.
 */
import { createConnection, createServer, Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createResetCounter } from "../../../src/backends";
import { resetSocket } from "./resetSocket";
import { SoakLinkState } from "./SoakLinkState";

const delayMilliseconds = 150;

/** A connection through a proxy. */
interface ProxiedConnection {
    /** Whether it passes nothing on any more. */
    isSilent: boolean;
}

/** A proxy in front of one listener. */
export interface SoakProxy {
    /** The address that clients connect to, as `ip:port`. */
    readonly address: string;
    /** Sets how all open and new connections are treated from now on. */
    setLinkState(linkState: SoakLinkState): void;
    /**
     * Passes nothing on, neither bytes nor ends of connections, and afterwards all that has arrived meanwhile, in order.
     * @param milliseconds - How long.
     */
    hold(milliseconds: number): Promise<void>;
    /**
     * Returns whether the listener refused the connection of a client.
     * @param port - The client's port.
     */
    wasRefused(port: number): boolean;
    /** Passes nothing on over the connections that are open now, for good, neither bytes nor ends; new ones work. */
    silenceConnections(): void;
    /** Resets all connections. */
    resetConnections(): void;
    /** Resets all connections and stops listening. */
    stop(): void;
}

/**
 * Starts a proxy in the state `Open`, on a port that the operating system chooses.
 * @param ip - The loopback address to listen on.
 * @param target - The address of the listener behind the proxy, as `ip:port`.
 */
export async function startSoakProxy(ip: string, target: string): Promise<SoakProxy> {
    const [targetIp, targetPort] = target.split(":") as [string, string];
    const sockets = new Set<Socket>();
    const connections = new Set<ProxiedConnection>();
    const refusedPorts = new Set<number>();
    let linkState = SoakLinkState.Open;
    let holdCount = 0;
    let heldActions: (() => void)[] = [];
    // The end of one direction is only passed on, and doesn't end the other one here.
    const allowHalfOpen = true;
    const server = createServer({ allowHalfOpen }, client => {
        const upstream = createConnection({ host: targetIp, port: Number(targetPort), allowHalfOpen });
        const { remotePort } = client;
        upstream.on("error", (error: NodeJS.ErrnoException) => {
            if (error.code === "ECONNREFUSED" && remotePort !== undefined) {
                refusedPorts.add(remotePort);
            }
        });
        refusedPorts.delete(remotePort ?? 0);
        const connection = { isSilent: false };
        connections.add(connection);
        relay(client, upstream, connection, false);
        relay(upstream, client, connection, true);
    });
    await new Promise<void>(resolve => server.listen(0, ip, resolve));
    return {
        address: `${ip}:${(server.address() as { port: number; }).port}`,
        setLinkState: newState => linkState = newState,
        hold,
        wasRefused: port => refusedPorts.has(port),
        silenceConnections: () => {
            connections.forEach(connection => connection.isSilent = true);
            connections.clear();
        },
        resetConnections,
        stop: () => {
            resetConnections();
            server.close();
        },
    };

    function relay(from: Socket, to: Socket, connection: ProxiedConnection, isFromServer: boolean): void {
        sockets.add(from);
        from.setNoDelay(true);
        from.on("data", bytes => release(() => passOn(isFromServer, () => to.write(bytes))));
        const resets = createResetCounter();
        resets.watch(from);
        // A reset on one side is passed on to the other.
        from.on("end", () => {
            // After the end of the other direction, a connection that has ended looks as one that was reset.
            if (resets.getCount() > 0 && !from.writableEnded) {
                release(() => resetSocket(to));
            }
            else {
                release(() => passOn(isFromServer, () => to.end()));
            }
        });
        from.on("error", () => release(() => resetSocket(to)));
        from.on("close", () => {
            sockets.delete(from);
            connections.delete(connection);
            release(() => passOn(isFromServer, () => to.destroy()));
        });

        function release(action: () => void): void {
            releaseInOrder(() => connection.isSilent ? undefined : action());
        }
    }

    async function hold(milliseconds: number): Promise<void> {
        holdCount += 1;
        await sleep(milliseconds);
        holdCount -= 1;
        if (holdCount === 0) {
            const actions = heldActions;
            heldActions = [];
            actions.forEach(action => action());
        }
    }

    /** Runs an action at once, or where the link is held, when it no longer is. */
    function releaseInOrder(action: () => void): void {
        if (holdCount > 0) {
            heldActions.push(action);
        }
        else {
            action();
        }
    }

    /** Runs an action as the state of the link permits; what the link drops is never sent later. */
    function passOn(isFromServer: boolean, action: () => void): void {
        switch (linkState) {
            case SoakLinkState.Open:
                action();
                return;
            case SoakLinkState.Delayed:
                setTimeout(action, delayMilliseconds);
                return;
            case SoakLinkState.CutOneWay:
                if (!isFromServer) {
                    action();
                }
                return;
            case SoakLinkState.Silent:
                return;
        }
    }

    function resetConnections(): void {
        sockets.forEach(resetSocket);
    }
}
