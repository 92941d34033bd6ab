/*
 * The `events` command, which shows the actions that the system has taken without an operator.
 */
import { Command, Option } from "clipanion";
import { SystemEvent } from "../control";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { formatTable } from "./formatTable";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

const millisecondsPerHour = 3_600_000;
const hoursPattern = /^\d{1,5}$/;

/** Shows the event history, oldest first. */
export class EventsCommand extends OperatorCommand {
    static override paths = [["events"]];

    static override usage = Command.Usage({
        category: "Status",
        description: "Show the event history, oldest first.",
        details: "Exit codes: 0 shown, 2 --hours is not a whole number, 4 no control member answered.",
        examples: [
            ["Show the whole event history", "basilwing events"],
            ["Show the events of the last 14 hours", "basilwing events --hours 14"],
        ],
    });

    hours = Option.String("--hours", { description: "Only events of the last given number of hours." });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const { hours } = this;
        if (hours !== undefined && !hoursPattern.test(hours)) {
            this.context.stderr.write(`--hours: found ${JSON.stringify(hours)}, expected a whole number\n`);
            return ExitCode.Invalid;
        }
        const outcome = await client.send({ method: "GET", path: "/v1/events" });
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
            return getCallExitCode(outcome);
        }
        const earliestMilliseconds = hours === undefined ? 0 : Date.now() - Number(hours) * millisecondsPerHour;
        const events = (outcome.body as readonly SystemEvent[]).filter(event =>
            event.timeMilliseconds >= earliestMilliseconds
        );
        if (this.isJson) {
            this.printJson(events);
        }
        else {
            this.printLine(formatTable(["time", "event", "subject", "what happened"], events.map(getRow)));
        }
        return ExitCode.Success;
    }
}

/** Gets the table cells of an event. */
function getRow({ timeMilliseconds, kind, subject, text }: SystemEvent): readonly string[] {
    return [new Date(timeMilliseconds).toISOString(), kind, subject, text];
}
