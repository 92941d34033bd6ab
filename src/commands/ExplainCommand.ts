/*
 * The `explain` command, which rebuilds the timeline of one request from the log files of several processes.
 */
import { Command, Option } from "clipanion";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { getErrorMessage } from "../errors";
import { LogLine, parseLogLine, selectRequestTimeline } from "../logging";
import { ExitCode } from "./ExitCode";

/** Prints the timeline of a request. */
export class ExplainCommand extends Command {
    static override paths = [["explain"]];

    static override usage = Command.Usage({
        description: "Show the timeline of a request from the logs of all processes.",
        details: `
            Reads log files of entry processes and control members. Prints, in order of time, the log lines of the
            request (marked with \`*\`) and, from shortly before to shortly after them, the state changes of the processes
            concerned: loss of contact with the control members, unresponsive backend servers, orders, and changes of
            leadership and configuration.

            Exit codes: 0 the request was found, 1 no line mentions it, 2 a file can't be read.
        `,
        examples: [["Explain a refusal", "basilwing explain 9c41d07be2a35f68 logs/*.log"]],
    });

    requestId = Option.String({ required: true });
    files = Option.Rest({ required: 1 });

    async execute(): Promise<number> {
        const lines: LogLine[] = [];
        for (const file of this.files) {
            try {
                await readLogLines(file, lines);
            }
            catch (thrown) {
                this.context.stdout.write(`${file}: ${getErrorMessage(thrown)}\n`);
                return ExitCode.Invalid;
            }
        }
        const timeline = selectRequestTimeline(lines, this.requestId);
        if (timeline.length === 0) {
            this.context.stdout.write(`no line in these files mentions the request ${this.requestId}\n`);
            return ExitCode.Failure;
        }
        timeline.forEach(line => this.context.stdout.write(`${formatLine(line, this.requestId)}\n`));
        return ExitCode.Success;
    }
}

async function readLogLines(file: string, lines: LogLine[]): Promise<void> {
    for await (const text of createInterface({ input: createReadStream(file) })) {
        const line = parseLogLine(text);
        if (line) {
            lines.push(line);
        }
    }
}

/** Formats a line; the lines of the request itself are marked with `*`. */
function formatLine({ instance, timeMilliseconds, message, fields }: LogLine, requestId: string): string {
    const { requestId: lineRequestId, ...otherFields } = fields;
    const marker = lineRequestId === requestId ? "*" : " ";
    const values = Object.entries(otherFields).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
    return `${marker} ${new Date(timeMilliseconds).toISOString()} ${instance}  ${message}  ${values}`.trimEnd();
}
