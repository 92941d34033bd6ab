/*
 * Recognises addresses of HTTP servers that consist of an IP address and a port.
 */
import { isIpPort } from "./isIpPort";

const httpAddressPattern = /^https?:\/\/(?<address>[^/]+)\/?$/;

/** Determines whether a text is `http://ip:port` or `https://ip:port`. */
export function isHttpAddress(text: string): boolean {
    const address = httpAddressPattern.exec(text)?.groups?.address;
    return address !== undefined && isIpPort(address);
}
