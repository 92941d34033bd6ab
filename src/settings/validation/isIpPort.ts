/*
 * Recognises addresses by IP number and port.
 */
import { isIP, isIPv6 } from "node:net";

const addressPattern = /^(?:\[(?<six>[^\]]+)\]|(?<four>[^:]+)):(?<port>\d{1,5})$/;
const maximumPort = 65_535;

/** Tells whether a text is `ip:port`, with an IPv6 address in brackets. */
export function isIpPort(text: string): boolean {
    const groups = addressPattern.exec(text)?.groups;
    if (groups === undefined || Number(groups.port) > maximumPort) {
        return false;
    }
    return groups.six === undefined ? isIP(groups.four!) !== 0 : isIPv6(groups.six);
}
