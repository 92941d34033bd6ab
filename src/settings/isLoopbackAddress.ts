/*
 * Recognizes loopback addresses, which no other machine can reach.
 */
import { BlockList, isIP } from "node:net";

const loopbackAddresses = new BlockList();
loopbackAddresses.addSubnet("127.0.0.0", 8, "ipv4");
loopbackAddresses.addAddress("::1", "ipv6");

/**
 * Tells whether an address is a loopback address.
 * @param address - An IP address without a port; an IPv6 address may have brackets.
 * @returns False also for anything that isn't an IP address.
 */
export function isLoopbackAddress(address: string): boolean {
    const withoutBrackets = address.replace(/^\[|\]$/g, "");
    const family = isIP(withoutBrackets);
    return family !== 0 && loopbackAddresses.check(withoutBrackets, family === 6 ? "ipv6" : "ipv4");
}
