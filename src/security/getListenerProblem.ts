/*
 * Prevents listeners without TLS from being opened to other machines by mistake.
 */
import { ListenerSettings } from "../settings";
import { isLoopbackAddress } from "../settings";

/**
 * Gets the reason why a listener must not be opened.
 * @param listener - The listener's settings.
 * @param hasIdentity - Whether the listener has a TLS identity.
 * @returns The reason; undefined if the listener may be opened.
 */
export function getListenerProblem(listener: ListenerSettings, hasIdentity: boolean): string | undefined {
    if (hasIdentity || listener.allowPlain === true || isLoopbackAddress(listener.address)) {
        return undefined;
    }
    return `a listener on ${listener.address} needs TLS, or allowPlain if the network itself is trusted`;
}
