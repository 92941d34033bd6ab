/*
 * What all commands have in common that call control members.
 */
import { Command, Option } from "clipanion";
import { createSystemClock } from "../runtime";
import { createOperatorClient } from "./createOperatorClient";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorCallOutcome } from "./OperatorCallOutcome";
import { OperatorClient } from "./OperatorClient";
import { readOperatorConnection } from "./readOperatorConnection";

const millisecondsPerSecond = 1_000;

/** A command that calls control members. */
export abstract class OperatorCommand extends Command {
    addresses = Option.Array("--address", [], {
        description: "A control member's operator address; may be given again. Else BASILWING_OPERATOR_ADDRESS.",
    });

    tokenFile = Option.String("--token-file", {
        description: "The file that holds the operator's token. Else BASILWING_OPERATOR_TOKEN holds the token.",
    });

    authorityFile = Option.String("--authority-file", {
        description: "The authorities that servers' certificates must come from, in PEM.",
    });

    allowsPlain = Option.Boolean("--allow-plain", false, {
        description: "Let the token go over plain HTTP to another machine.",
    });

    timeoutSeconds = Option.String("--timeout", "20", {
        description: "How long to try for, in seconds, until a control member answers.",
    });

    isJson = Option.Boolean("--json", false, { description: "Print JSON instead of a table." });

    async execute(): Promise<number> {
        const { addresses, tokenFile, authorityFile, allowsPlain } = this;
        const outcome = await readOperatorConnection(
            { addresses, tokenFile, authorityFile, allowsPlain },
            this.context.env,
        );
        if (outcome.kind === "invalid") {
            this.context.stderr.write(`${outcome.problem}\n`);
            return ExitCode.Invalid;
        }
        const timeoutMilliseconds = Number(this.timeoutSeconds) * millisecondsPerSecond;
        if (Number.isNaN(timeoutMilliseconds)) {
            this.context.stderr.write("--timeout must be a number of seconds\n");
            return ExitCode.Invalid;
        }
        const client = createOperatorClient({ ...outcome.connection, timeoutMilliseconds, clock: createSystemClock() });
        try {
            return await this.runWithClient(client);
        }
        finally {
            await client.stop();
        }
    }

    /**
     * Runs the command.
     * @param client - Calls the control members.
     * @returns The exit code.
     */
    protected abstract runWithClient(client: OperatorClient): Promise<number>;

    /**
     * Prints what became of a command, and gets its exit code.
     * @param outcome - The control member's answer.
     * @param successLine - What is printed of a success where JSON is not asked for.
     */
    protected reportOutcome(outcome: OperatorCallOutcome, successLine: string): number {
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
            return getCallExitCode(outcome);
        }
        if (this.isJson) {
            this.printJson(outcome.body);
        }
        else {
            this.printLine(successLine);
        }
        return ExitCode.Success;
    }

    /** Prints a value as JSON. */
    protected printJson(value: unknown): void {
        this.context.stdout.write(`${JSON.stringify(value, undefined, 2)}\n`);
    }

    /** Prints a line. */
    protected printLine(line: string): void {
        this.context.stdout.write(`${line}\n`);
    }
}
