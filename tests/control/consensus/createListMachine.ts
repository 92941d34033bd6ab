import { StateMachine } from "../../../src/control/consensus";

/** A state machine that records its commands and their indexes. */
export interface ListMachine extends StateMachine {
    /** Gets the applied commands, in order. */
    getCommands(): readonly string[];
    /** Gets the indexes at which commands were applied since the last restore. */
    getAppliedIndexes(): readonly bigint[];
}

/** Creates a machine without commands. The result of a command is the number of commands after it. */
export function createListMachine(): ListMachine {
    let commands: string[] = [];
    let appliedIndexes: bigint[] = [];
    return {
        getCommands: () => commands,
        getAppliedIndexes: () => appliedIndexes,
        apply(command, context) {
            commands.push(Buffer.from(command).toString("utf8"));
            appliedIndexes.push(context.index);
            return Buffer.from(String(commands.length));
        },
        takeSnapshot: () => Buffer.from(JSON.stringify(commands)),
        restoreSnapshot(snapshot) {
            commands = JSON.parse(Buffer.from(snapshot).toString("utf8")) as string[];
            appliedIndexes = [];
        },
    };
}
