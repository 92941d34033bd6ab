/*
 * Makes the file paths in settings independent of the working directory.
 */
import { resolve } from "node:path";
import { InstanceSettings } from "./InstanceSettings";
import { ListenerSettings } from "./ListenerSettings";
import { TlsSettings } from "./TlsSettings";

/**
 * Resolves the paths of files and folders to absolute paths.
 * @param settings - The settings.
 * @param folder - The folder of the settings file, which relative paths are resolved against.
 */
export function resolveSettingsPaths(settings: InstanceSettings, folder: string): InstanceSettings {
    const { listeners, control, logging } = settings;
    return omitUndefined({
        ...settings,
        dataFolder: resolvePath(settings.dataFolder),
        tls: resolveTls(settings.tls),
        listeners: omitUndefined({
            callers: resolveListener(listeners.callers),
            internal: resolveListener(listeners.internal)!,
            operators: resolveListener(listeners.operators),
            administration: resolveListener(listeners.administration),
        }),
        control: omitUndefined({
            ...control,
            initialConfigurationFile: resolvePath(control.initialConfigurationFile),
        }),
        logging: omitUndefined({ ...logging, file: resolvePath(logging.file) }),
    });

    function resolvePath(path: string | undefined): string | undefined {
        return path === undefined ? undefined : resolve(folder, path);
    }

    function resolveTls(tls: TlsSettings | undefined): TlsSettings | undefined {
        return tls && omitUndefined({
            certificateFile: resolve(folder, tls.certificateFile),
            keyFile: resolve(folder, tls.keyFile),
            authorityFile: resolvePath(tls.authorityFile),
        });
    }

    function resolveListener(listener: ListenerSettings | undefined): ListenerSettings | undefined {
        return listener && omitUndefined({ ...listener, tls: resolveTls(listener.tls) });
    }
}

/** Removes properties that are undefined, so that absent settings stay absent. */
function omitUndefined<T extends object>(value: T): T {
    return Object.fromEntries(Object.entries(value).filter(([, inner]) => inner !== undefined)) as T;
}
