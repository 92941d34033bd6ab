/*
 * The `experiment` command, which compares routing policies under a workload.
 */
import Table from "cli-table3";
import { Command, Option } from "clipanion";
import { writeFile } from "node:fs/promises";
import {
    CapacityResult,
    createReport,
    createScaledClock,
    ExperimentOptions,
    ExperimentProgress,
    ExperimentResult,
    FaultName,
    getTableRows,
    PolicyName,
    runExperiment,
    searchCapacity,
    WorkloadKind,
} from "../experiment";
import { createSystemClock } from "../runtime";
import { ExitCode } from "./ExitCode";
import { parseNameList } from "./parseNameList";
import { parseNumberOptions } from "./parseNumberOptions";

const jsonIndentation = 2;
/** How often the progress is printed where the output is not a terminal. */
const progressIntervalSeconds = 10;

/** Compares routing policies under a workload. */
export class ExperimentCommand extends Command {
    static override paths = [["experiment"]];

    static override usage = Command.Usage({
        description: "Compare routing policies under a workload.",
        details: `
            Runs entry processes, sidecars and stand-ins in this process over loopback, in real time, one policy after
            the other with the same arrivals, and prints a table. Load 1 is the highest arrival rate
            that the engines can prefill without any cache. With \`--search-capacity\`, searches for the highest load
            of each policy instead, starting at \`--load\`.

            Policies: prefix, least-loaded, round-robin, hash, oracle. Faults: engine-crash, entry-herd, hot-shift,
            event-loss (in the middle of the measured time), heavy-subscriber (during the whole run).

            Exit codes: 0 done, 2 an option is invalid.
        `,
        examples: [
            ["Compare all policies for a minute each", "basilwing experiment --workload regie --seconds 60"],
            [
                "Measure the effect of an engine crash and write a report",
                "basilwing experiment --policies prefix,oracle --faults engine-crash --report crash.html",
            ],
            ["Search for the highest load", "basilwing experiment --workload corrib --load 0.8 --search-capacity"],
        ],
    });

    workload = Option.String("--workload", WorkloadKind.Regie, {
        description: "The workload, regie or corrib; defaults to regie.",
    });
    policies = Option.String("--policies", Object.values(PolicyName).join(","), {
        description: "The policies, separated by commas; defaults to all.",
    });
    faults = Option.String("--faults", "", { description: "The faults, separated by commas; defaults to none." });
    seconds = Option.String("--seconds", { description: "The measured time, in seconds; defaults to 60." });
    warmUp = Option.String("--warm-up", { description: "The warm-up before it, in seconds; defaults to 30." });
    seed = Option.String("--seed", { description: "The seed of the workload; defaults to 1." });
    load = Option.String("--load", { description: "The load; defaults to 0.8." });
    timeScale = Option.String("--time-scale", {
        description:
            "How many times slower everything runs; measurements stay in the workload's own time; defaults to 1.",
    });
    jsonFile = Option.String("--json", { description: "The file that the result is written to, as JSON." });
    reportFile = Option.String("--report", { description: "The file that the report is written to, as HTML." });
    isCapacitySearch = Option.Boolean("--search-capacity", false, {
        description: "Search for the highest load of each policy.",
    });

    async execute(): Promise<number> {
        const options = this.getOptions();
        if (typeof options === "string") {
            this.context.stderr.write(`${options}\n`);
            return ExitCode.Invalid;
        }
        const result = this.isCapacitySearch ? await this.searchCapacities(options) : await runExperiment(options);
        this.context.stderr.write("\n");
        this.context.stdout.write(`${formatResult(result)}\n`);
        if (this.jsonFile !== undefined) {
            await writeFile(this.jsonFile, `${JSON.stringify(result, undefined, jsonIndentation)}\n`);
        }
        if (this.reportFile !== undefined) {
            await writeFile(this.reportFile, createReport(result));
        }
        return ExitCode.Success;
    }

    /** Gets the experiment's options, or a message about an invalid command line. */
    private getOptions(): ExperimentOptions | string {
        const numbers = parseNumberOptions({
            "--seconds": this.seconds,
            "--warm-up": this.warmUp,
            "--seed": this.seed,
            "--load": this.load,
            "--time-scale": this.timeScale,
        });
        const workloads = parseNameList("--workload", this.workload, Object.values(WorkloadKind));
        const policies = parseNameList("--policies", this.policies, Object.values(PolicyName));
        const faults = parseNameList("--faults", this.faults, Object.values(FaultName));
        if (numbers.kind === "invalid") {
            return numbers.message;
        }
        if (workloads.kind === "invalid") {
            return workloads.message;
        }
        if (policies.kind === "invalid") {
            return policies.message;
        }
        if (faults.kind === "invalid") {
            return faults.message;
        }
        return {
            workload: workloads.names[0] ?? WorkloadKind.Regie,
            policies: policies.names,
            faults: faults.names,
            seconds: Math.max(1, Math.round(numbers.values["--seconds"] ?? 60)),
            warmUpSeconds: Math.round(numbers.values["--warm-up"] ?? 30),
            seed: numbers.values["--seed"] ?? 1,
            load: numbers.values["--load"] ?? 0.8,
            clock: createScaledClock(createSystemClock(), Math.max(1, numbers.values["--time-scale"] ?? 1)),
            onProgress: progress => this.printProgress(progress),
        };
    }

    private async searchCapacities(options: ExperimentOptions): Promise<ExperimentResult> {
        const capacities: CapacityResult[] = [];
        for (const policy of options.policies) {
            capacities.push(await searchCapacity(policy, options));
        }
        const { faults, load, seconds, seed, warmUpSeconds, workload } = options;
        const emptyMeasurements = { completionsPerSecond: 0, meanPromptTokens: 0, policies: [] };
        return { workload, seed, load, faults, seconds, warmUpSeconds, ...emptyMeasurements, capacities };
    }

    /** Updates one line on a terminal; otherwise prints a line every `progressIntervalSeconds`. */
    private printProgress(progress: ExperimentProgress): void {
        const { elapsedSeconds, ended, load, policy, sent, totalSeconds } = progress;
        const time = `${elapsedSeconds}/${totalSeconds} s`;
        const text = `${policy} at load ${load.toFixed(2)}: ${time}, ${sent} sent, ${ended} ended`;
        if ((this.context.stderr as NodeJS.WriteStream).isTTY) {
            this.context.stderr.write(`\r${text}   `);
        }
        else if (elapsedSeconds % progressIntervalSeconds === 0) {
            this.context.stderr.write(`${text}\n`);
        }
    }
}

function formatResult(result: ExperimentResult): string {
    const rows = result.capacities === undefined ? getTableRows(result) : getCapacityRows(result.capacities);
    const [head, ...body] = rows;
    const table = new Table({ head: [...head!], style: { head: [], border: [] } });
    body.forEach(row => table.push([...row]));
    return table.toString();
}

function getCapacityRows(capacities: readonly CapacityResult[]): readonly (readonly string[])[] {
    const rows = capacities.map(({ load, policy, trials }) => {
        const trialTexts = trials.map(trial => `${trial.load.toFixed(2)}${trial.isBorne ? "+" : "-"}`).join(" ");
        return [policy, load.toFixed(2), trialTexts];
    });
    return [["policy", "highest load", "tried"], ...rows];
}
