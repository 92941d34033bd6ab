/*
 * Validates one file, as settings or as configuration depending on its content.
 */
import { readFile } from "node:fs/promises";
import { parseConfigurationFile, readConfigurationFile } from "../control/configuration";
import { getErrorMessage } from "../errors";
import { Environment, formatValueProblem, InstanceSettings, loadInstanceSettings, parseJsonText } from "../settings";
import { FileCheckResult } from "./FileCheckResult";

/**
 * Validates a file.
 * @param path - The file's path.
 * @param environment - The environment variables, which override settings.
 * @returns The kind of the file and its problems.
 */
export async function checkFile(path: string, environment: Environment): Promise<FileCheckResult> {
    let text: string;
    try {
        text = await readFile(path, "utf8");
    }
    catch (error) {
        return { contentKind: "file", problems: [getErrorMessage(error)] };
    }
    const parsed = parseJsonText(text);
    if (parsed.kind === "invalid") {
        return { contentKind: "file", problems: [formatValueProblem(parsed.problem)] };
    }
    return isConfiguration(parsed.value) ? checkConfiguration(parsed.value) : checkSettings(path, environment);
}

/** Recognises a configuration file by its top-level keys, which no settings file has. */
function isConfiguration(content: unknown): boolean {
    const isObject = typeof content === "object" && Boolean(content) && !Array.isArray(content);
    return isObject && ["workspaces", "settings"].some(key => Object.hasOwn(content as object, key));
}

function checkConfiguration(content: unknown): FileCheckResult {
    const outcome = parseConfigurationFile(content);
    switch (outcome.kind) {
        case "read":
            return { contentKind: "configuration", problems: [] };
        case "invalid":
            return { contentKind: "configuration", problems: outcome.problems.map(formatValueProblem) };
        case "unreadable":
            return { contentKind: "configuration", problems: [outcome.reason] };
    }
}

async function checkSettings(path: string, environment: Environment): Promise<FileCheckResult> {
    const outcome = await loadInstanceSettings(path, environment);
    switch (outcome.kind) {
        case "loaded":
            return { contentKind: "settings", problems: await getInitialConfigurationProblems(outcome.settings) };
        case "invalid":
            return { contentKind: "settings", problems: outcome.problems.map(formatValueProblem) };
        case "unreadable":
            return { contentKind: "settings", problems: [outcome.reason] };
    }
}

/** Gets the problems of the initial configuration file that the settings name. */
async function getInitialConfigurationProblems({ control }: InstanceSettings): Promise<readonly string[]> {
    const path = control.initialConfigurationFile;
    return path === undefined ? [] : getConfigurationProblems(path);
}

async function getConfigurationProblems(path: string): Promise<readonly string[]> {
    const outcome = await readConfigurationFile(path);
    switch (outcome.kind) {
        case "read":
            return [];
        case "invalid":
            return outcome.problems.map(problem => `${path}: ${formatValueProblem(problem)}`);
        case "unreadable":
            return [`${path}: ${outcome.reason}`];
    }
}
