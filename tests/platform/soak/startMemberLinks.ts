/*
 * Starts proxies between one process of the system under test and control members.
 */
import { soakPorts } from "./soakPorts";
import { SoakProxy, startSoakProxy } from "./startSoakProxy";

/** The proxies through which one process reaches control members. */
interface MemberLinks {
    /** The proxies. */
    links: readonly SoakProxy[];
    /** The address of each proxy by that of the listener behind it, both as `ip:port`. */
    redirections: Readonly<Record<string, string>>;
}

/**
 * Starts a proxy for each control member but the process itself.
 * @param ip - The process's loopback address.
 * @param memberIps - The loopback addresses of the control members.
 */
export async function startMemberLinks(ip: string, memberIps: readonly string[]): Promise<MemberLinks> {
    const targets = memberIps.filter(memberIp => memberIp !== ip).map(memberIp => `${memberIp}:${soakPorts.internal}`);
    const links = await Promise.all(targets.map(target => startSoakProxy(target.split(":")[0]!, target)));
    const addresses = targets.map((target, index) => [target, links[index]!.address]);
    return { links, redirections: Object.fromEntries(addresses) as Record<string, string> };
}
