/*
 * Recognises addresses that consist of an IP address and a port.
 */
import { isIP, isIPv6 } from "node:net";

const addressPattern = /^(?:\[(?<ipv6>[^\]]+)\]|(?<ipv4>[^:]+)):(?<port>\d{1,5})$/;
const maximumPort = 65_535;

/** Determines whether a text is `ip:port`, with an IPv6 address in brackets. */
export function isIpPort(text: string): boolean {
    const groups = addressPattern.exec(text)?.groups;
    if (groups === undefined || Number(groups.port) > maximumPort) {
        return false;
    }
    return groups.ipv6 === undefined ? isIP(groups.ipv4!) !== 0 : isIPv6(groups.ipv6);
}
