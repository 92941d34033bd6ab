/*
 * Validates the constraints between settings that the schema can't express.
 */
import { InstanceSettings } from "./InstanceSettings";
import { isLoopbackAddress } from "./isLoopbackAddress";
import { ListenerSettings } from "./ListenerSettings";
import { Role } from "./Role";
import { ValueProblem } from "./validation";

/**
 * Gets the violated constraints between settings.
 * @param settings - Settings that are valid by the schema.
 */
export function getRelationProblems(settings: InstanceSettings): readonly ValueProblem[] {
    return [
        ...settings.roles.flatMap(role => getRoleProblems(role, settings)),
        ...getControlProblems(settings),
        ...getListenerProblems(settings),
    ];
}

function getRoleProblems(role: Role, settings: InstanceSettings): readonly ValueProblem[] {
    const { listeners, dataFolder, companion } = settings;
    switch (role) {
        case Role.Entry:
            return requireValue(
                listeners.callers,
                "listeners.callers",
                "a listener, since the role entry answers callers",
            );
        case Role.Sidecar:
            return requireValue(companion, "companion", "an object, since the role companion has a backend server");
        case Role.Control:
            return [
                ...requireValue(dataFolder, "dataFolder", "a folder, since the role control keeps durable state"),
                ...requireValue(
                    listeners.operators,
                    "listeners.operators",
                    "a listener, since the role control answers operators",
                ),
            ];
    }
}

function requireValue(value: unknown, path: string, expected: string): readonly ValueProblem[] {
    return value === undefined ? [{ path, found: "nothing", expected }] : [];
}

function getControlProblems({ control, roles }: InstanceSettings): readonly ValueProblem[] {
    const problems: ValueProblem[] = [];
    if (control.bootstrap && !roles.includes(Role.Control)) {
        problems.push({ path: "control.bootstrap", found: "true", expected: "false without the role control" });
    }
    const operators = control.operators ?? [];
    return [
        ...problems,
        ...getDuplicateProblems(control.members, "control.members", "addresses that differ"),
        ...getDuplicateProblems(operators.map(operator => operator.name), "control.operators", "names that differ"),
        ...getDuplicateProblems(
            operators.map(operator => operator.tokenDigest),
            "control.operators",
            "tokens that differ",
        ),
    ];
}

function getDuplicateProblems(values: readonly string[], path: string, expected: string): readonly ValueProblem[] {
    const index = values.findIndex((value, position) => values.indexOf(value) !== position);
    if (index === -1) {
        return [];
    }
    return [{ path: `${path}[${index}]`, found: "a repetition", expected }];
}

function getListenerProblems({ listeners, tls }: InstanceSettings): readonly ValueProblem[] {
    return Object.entries(listeners).flatMap(([name, listener]: [string, ListenerSettings | undefined]) => {
        const isProtected = listener?.tls !== undefined || (name === "internal" && tls !== undefined);
        if (listener === undefined || isProtected || listener.allowPlain || isLoopbackAddress(listener.address)) {
            return [];
        }
        const expected = "a loopback address, or tls, or else allowPlain: true";
        return [{ path: `listeners.${name}.address`, found: JSON.stringify(listener.address), expected }];
    });
}
