/*
 * The command that tells a request's story from the logs of all processes.
 */
import { Command, Option } from "clipanion";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import { getErrorMessage } from "../errors";
import { LogLine, parseLogLine, selectRequestTimeline } from "../logging";
import { ExitCode } from "./ExitCode";

/** Explains what became of a request. */
export class ExplainCommand extends Command {
    static override paths = [["explain"]];

    static override usage = Command.Usage({
        description: "Tell what became of a request, from the logs of all processes.",
        details: `
            Reads log files of entries and control members and prints, in the order of their times, the request's own
            lines and what the processes concerned came to believe around them: lost control members, silent backend
            servers, orders, changes of leadership and configuration.

            Exit codes: 0 where the request was found, 1 where no line names it, 2 where a file can't be read.
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
            this.context.stdout.write(`no line of these files names the request ${this.requestId}\n`);
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

/** Formats a line; the request's own are marked. */
function formatLine({ instance, timeMilliseconds, message, fields }: LogLine, requestId: string): string {
    const { requestId: lineRequestId, ...otherFields } = fields;
    const marker = lineRequestId === requestId ? "*" : " ";
    const values = Object.entries(otherFields).map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(" ");
    return `${marker} ${new Date(timeMilliseconds).toISOString()} ${instance}  ${message}  ${values}`.trimEnd();
}
