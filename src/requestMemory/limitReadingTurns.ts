/*
 * Lets the connections of a server be read in turns.
 */
import type { Server } from "node:http";
import type { Socket } from "node:net";
import { getReadGate, ReadPause } from "../runtime";
import { ConnectionTurns } from "./ConnectionTurns";
import { ReadingTurns } from "./ReadingTurns";
import { TurnAccount } from "./TurnAccount";

/** A connection with its account. */
interface Connection {
    account: TurnAccount;
    /** Refuses the request whose body arrives; undefined where there is none. */
    refuse?: () => void;
}

/**
 * Adds the connections that a server accepts from now on to the turns.
 * @param server - The server.
 * @param turns - The turns.
 * @param connectionEvent - The event with which the server announces a connection; another one with TLS.
 */
export function limitReadingTurns(
    server: Server,
    turns: ReadingTurns,
    connectionEvent: "connection" | "secureConnection" = "connection",
): ConnectionTurns {
    const connections = new WeakMap<Socket, Connection>();
    server.on(connectionEvent, (socket: Socket) => {
        const account = turns.open({
            setPaused: isPaused =>
                isPaused
                    ? getReadGate(socket).pause(ReadPause.Turn)
                    : getReadGate(socket).resume(ReadPause.Turn),
            refuse: () => connections.get(socket)?.refuse?.(),
        });
        connections.set(socket, { account });
        socket.on("close", account.close);
    });
    server.prependListener("request", ({ socket }) => {
        const connection = connections.get(socket);
        if (connection) {
            connection.refuse = undefined;
            connection.account.recordRequest();
        }
    });
    return {
        observeBody: ({ socket }, refuse) => {
            const connection = connections.get(socket);
            if (!connection) {
                return () => undefined;
            }
            connection.refuse = refuse;
            return connection.account.recordChunk;
        },
    };
}
