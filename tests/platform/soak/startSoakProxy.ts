/*
 * A TCP proxy on a loopback address that can delay, drop or reset the connections that pass through it.
 */
import { createConnection, createServer, Socket } from "node:net";
import { createResetCounter } from "../../../src/backends";
import { resetSocket } from "./resetSocket";
import { SoakLinkState } from "./SoakLinkState";

const delayMilliseconds = 150;

/** A proxy in front of one listener. */
export interface SoakProxy {
    /** The address that clients connect to, as `ip:port`. */
    readonly address: string;
    /** Sets how all open and new connections are treated from now on. */
    setLinkState(linkState: SoakLinkState): void;
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
    let linkState = SoakLinkState.Open;
    const server = createServer(client => {
        const upstream = createConnection({ host: targetIp, port: Number(targetPort) });
        relay(client, upstream, false);
        relay(upstream, client, true);
    });
    await new Promise<void>(resolve => server.listen(0, ip, resolve));
    return {
        address: `${ip}:${(server.address() as { port: number; }).port}`,
        setLinkState: newState => linkState = newState,
        resetConnections,
        stop: () => {
            resetConnections();
            server.close();
        },
    };

    function relay(from: Socket, to: Socket, isFromServer: boolean): void {
        sockets.add(from);
        from.setNoDelay(true);
        from.on("data", bytes => passOn(isFromServer, () => to.write(bytes)));
        const resets = createResetCounter();
        resets.watch(from);
        // A reset on one side is passed on to the other.
        from.on("end", () => {
            if (resets.getCount() > 0) {
                resetSocket(to);
            }
            else {
                passOn(isFromServer, () => to.end());
            }
        });
        from.on("error", () => resetSocket(to));
        from.on("close", () => {
            sockets.delete(from);
            passOn(isFromServer, () => to.destroy());
        });
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
