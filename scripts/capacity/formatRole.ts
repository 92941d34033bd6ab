/*
 * Formats the section of the capacity page on one role.
 */
import { budgets } from "./budgets";
import { CapacityLine } from "./CapacityLine";
import { FittedLine } from "./FittedLine";
import { formatFits } from "./formatFits";
import { formatTable } from "./formatTable";
import { formatValue } from "./formatValue";
import { Resource } from "./Resource";
import { RoleCapacity } from "./RoleCapacity";

const resources = [Resource.Processor, Resource.Memory, Resource.Traffic, Resource.Messages, Resource.Time];
const headings = ["Cause", "Slope", "Count", "Use", "Share of the budget", "Measured by", "Mechanism"];

/**
 * Formats the section on a role: its state, a table with a total for each resource, and the validation of the fits.
 * @param role - The resource use of the role.
 */
export function formatRole(role: RoleCapacity): string {
    return [
        `## ${role.title}`,
        role.state.map(sentence => `- ${sentence}`).join("\n"),
        ...resources.map(resource => formatResource(role, resource)).filter(text => text !== ""),
        formatRoleFits(role.fits),
    ].filter(text => text !== "").join("\n\n");
}

function formatResource(role: RoleCapacity, resource: Resource): string {
    const lines = role.lines.filter(line => line.resource === resource);
    if (lines.length === 0) {
        return "";
    }
    const table = formatTable(headings, lines.map(line => formatLine(line)));
    return [`### ${role.title}: ${getResourceName(resource)}`, table, formatTotal(role, resource, lines)].join("\n\n");
}

function getResourceName(resource: Resource): string {
    return Object.entries(Resource).find(([, value]) => value === resource)![0].toLowerCase();
}

function formatLine(line: CapacityLine): readonly string[] {
    const use = calculateUse(line);
    const budget = budgets[line.resource];
    return [
        line.name,
        `${formatValue(line.slope)} for ${line.slopeUnit}`,
        `${formatValue(line.count)} ${line.countName}`,
        use === undefined ? "not measured" : `${formatValue(use)} ${line.resource}`,
        use === undefined || budget === undefined ? "" : formatShare(use, budget),
        line.source.endsWith(".ts") ? `\`${line.source}\`` : line.source,
        `${line.mechanism} (${line.folder.split(", ").map(folder => `\`${folder}\``).join(", ")})`,
    ];
}

function calculateUse(line: CapacityLine): number | undefined {
    return line.slope === undefined ? undefined : line.slope * line.count;
}

function formatShare(use: number, budget: number): string {
    return `${formatValue(use / budget * 100)}%`;
}

/** Formats the sum of a resource's lines, the margin to its budget and, if the sum exceeds it, the possible remedies. */
function formatTotal(role: RoleCapacity, resource: Resource, lines: readonly CapacityLine[]): string {
    const budget = budgets[resource];
    const sum = lines.reduce((total, line) => total + (calculateUse(line) ?? 0), 0);
    const unmeasuredNames = lines.filter(line => line.slope === undefined).map(line => line.name);
    const sentences = [`Sum: ${formatValue(sum)} ${resource}.`];
    if (budget !== undefined && sum > budget) {
        sentences.push(
            `**Exceeds** ${formatValue(budget)} ${resource}; margin ${formatValue(budget - sum)} ${resource}.`,
        );
    }
    else if (budget !== undefined && unmeasuredNames.length === 0) {
        sentences.push(`Within ${formatValue(budget)} ${resource}; margin ${formatValue(budget - sum)} ${resource}.`);
    }
    if (budget !== undefined && sum > budget && role.isDedicatedInstance) {
        sentences.push(
            "The budget applies to a shared node; this instance is one of the nine dedicated to control, and has a budget of its own.",
        );
    }
    if (unmeasuredNames.length > 0) {
        sentences.push(
            `${sum > (budget ?? Infinity) ? "In addition" : "Inconclusive"}: not measured, and not in the sum: ${
                unmeasuredNames.join("; ")
            }.`,
        );
    }
    const linesWithRemedy = budget !== undefined && sum > budget ? lines.filter(line => line.remedy !== undefined) : [];
    return [
        sentences.join(" "),
        ...(linesWithRemedy.length > 0 ? ["\nChanges that would reduce the use:\n"] : []),
        ...linesWithRemedy.map(line => `- ${line.name}: ${line.remedy!}.`),
    ].join(
        "\n",
    );
}

function formatRoleFits(fits: readonly FittedLine[]): string {
    return fits.length === 0 ? "" : formatFits(fits);
}
