/*
 * What all commands have in common that change the configuration.
 */
import { Option } from "clipanion";
import { randomUUID } from "node:crypto";
import { ConfigurationChangeBody, ConfigurationChangeResponse } from "../control/operators";
import { createSystemClock } from "../runtime";
import { ExitCode } from "./ExitCode";
import { formatAnswerProblem } from "./formatAnswerProblem";
import { getAnswerExitCode } from "./getAnswerExitCode";
import { OperatorAnswer } from "./OperatorAnswer";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";
import { waitInForce } from "./waitInForce";

const defaultWaitSeconds = "60";
const millisecondsPerSecond = 1_000;
const wholeNumberPattern = /^\d{1,15}$/;

/** A command that changes the configuration. */
export abstract class ConfigChangeCommand extends OperatorCommand {
    revision = Option.String("--revision", {
        description: "The revision that the change is meant for; the newest where absent.",
    });

    changeId = Option.String("--change-id", {
        description: "The id of a change whose answer was lost, to learn its outcome.",
    });

    isWaiting = Option.Boolean("--wait", false, { description: "Wait until the change is in force everywhere." });

    waitSeconds = Option.String("--wait-seconds", defaultWaitSeconds, { description: "The longest wait, in seconds." });

    /** Gets the problem of the options; undefined where there is none. */
    protected getOptionProblem(): string | undefined {
        if (this.revision !== undefined && !wholeNumberPattern.test(this.revision)) {
            return "--revision must be a whole number";
        }
        return wholeNumberPattern.test(this.waitSeconds) ? undefined : "--wait-seconds must be a whole number";
    }

    /** Gets the revision that the change is meant for, asking for the newest where none is given. */
    protected async getExpectedRevision(client: OperatorClient): Promise<number | OperatorAnswer> {
        if (this.revision !== undefined) {
            return Number(this.revision);
        }
        const answer = await client.send({ method: "GET", path: "/v1/configuration?level=/" });
        if (answer.kind === "answered" && answer.status === 200) {
            return (answer.body as { revision: number; }).revision;
        }
        return answer;
    }

    /** Sends a change, again under its id where an answer was lost, and waits for its coming into force if asked to. */
    protected async sendChange(
        client: OperatorClient,
        expectedRevision: number,
        operations: ConfigurationChangeBody["operations"],
    ): Promise<number> {
        const body: ConfigurationChangeBody = { changeId: this.changeId ?? randomUUID(), expectedRevision, operations };
        const answer = await client.send({
            method: "POST",
            path: "/v1/configuration/changes",
            body,
            isRepeatable: true,
        });
        if (this.isJson && answer.kind === "answered") {
            this.printJson({ changeId: body.changeId, ...answer.body as object });
        }
        if (getAnswerExitCode(answer) !== ExitCode.Success) {
            return this.reportFailure(answer, body);
        }
        const { revision } = (answer as { body: ConfigurationChangeResponse; }).body;
        if (!this.isJson) {
            this.printLine(`accepted as revision ${revision}`);
        }
        return this.isWaiting ? this.waitFor(client, revision) : ExitCode.Success;
    }

    /** Prints why a call failed. */
    protected reportFailure(answer: OperatorAnswer, body?: ConfigurationChangeBody): number {
        this.context.stderr.write(`${formatAnswerProblem(answer)}\n`);
        const isUnknown = answer.kind === "unreachable" ? answer.mayHaveRun : isUnknownStatus(answer);
        if (body !== undefined && isUnknown) {
            const { changeId, expectedRevision } = body;
            this.context.stderr.write(
                "The change may be made or not. The same command with "
                    + `--change-id ${changeId} --revision ${expectedRevision} tells, and changes nothing twice.\n`,
            );
        }
        return getAnswerExitCode(answer);
    }

    private async waitFor(client: OperatorClient, revision: number): Promise<number> {
        const milliseconds = Number(this.waitSeconds) * millisecondsPerSecond;
        const answer = await waitInForce(client, revision, milliseconds, createSystemClock());
        if (answer.kind === "answered" && answer.status === 200) {
            this.printLine(`revision ${revision} is in force everywhere`);
            return ExitCode.Success;
        }
        const waitingFor = answer.kind === "answered" && answer.status === 202
            ? `waiting for ${(answer.body as { waitingFor: readonly string[]; }).waitingFor.join(", ")}`
            : formatAnswerProblem(answer);
        this.context.stderr.write(`revision ${revision} is accepted, but not known to be in force: ${waitingFor}\n`);
        return ExitCode.Pending;
    }
}

function isUnknownStatus(answer: OperatorAnswer): boolean {
    return answer.kind === "answered" && answer.status === 504;
}
