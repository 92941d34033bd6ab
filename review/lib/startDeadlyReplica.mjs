/*
 * A replica of a plain service that a certain request crashes. It resets its channels, stays silent for some seconds as a
 * machine without power does, and starts again under the id that it had.
 */
import { createServer } from "node:net";
import { connect } from "node:net";
import { startReplica } from "./startReplica.mjs";

/**
 * Starts the replica.
 * @param options - The options of a replica, and whether a request crashes it, how long it is down, and a function that is
 * called with each crash.
 */
export async function startDeadlyReplica(options) {
    const { ip, isDeadly, downMilliseconds, onRun, onCrash } = options;
    const sockets = new Set();
    let isDown = false;
    let born = Date.now();
    let id = options.id;
    let crashTimer;
    const replica = await startReplica({
        ...options,
        onRun: run => {
            onRun(run);
            if (isDeadly(run)) {
                crashTimer ??= setTimeout(crash, options.crashDelayMilliseconds);
            }
        },
        getBorn: () => born,
        getId: () => id,
    });
    // The machine's network: while it is down, channels open and nothing on them is answered.
    const front = createServer(socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        if (isDown) {
            return;
        }
        const [host, port] = replica.address.split(":");
        const inner = connect(Number(port), host);
        inner.on("error", () => socket.destroy());
        inner.on("close", () => socket.destroy());
        socket.on("close", () => inner.destroy());
        socket.pipe(inner).pipe(socket);
    });
    await new Promise(resolve => front.listen(0, ip, resolve));
    const address = `${ip}:${front.address().port}`;
    return {
        ...replica,
        address,
        isDown: () => isDown,
        getListEntry: () => ({ ...replica.getListEntry(), id, address, born }),
        stop: () => {
            clearTimeout(crashTimer);
            front.close();
            sockets.forEach(socket => socket.destroy());
            replica.stop();
        },
    };

    function crash() {
        crashTimer = undefined;
        isDown = true;
        onCrash(id);
        sockets.forEach(socket => socket.resetAndDestroy());
        setTimeout(() => {
            isDown = false;
            born = Date.now();
            id = options.hasNewIds ? `${options.id}-${born}` : id;
            options.onRestart(id);
            sockets.forEach(socket => socket.resetAndDestroy());
        }, downMilliseconds).unref();
    }
}
