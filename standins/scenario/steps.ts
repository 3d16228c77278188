/** Steps that inject and remove faults: in links, in processes, and by the control routes of the stand-ins. */
import {z} from "zod"
import {CutDirection} from "../proxy/network.js"
import {Trap, TrapAction, TrapPoint} from "../proxy/trap.js"
import {PLATFORM} from "./rig.js"
import {type ScenarioContext} from "./stage.js"
import {type Step} from "./step.js"
import {pauseFor} from "./wait.js"

const pairSchema = z.strictObject({a: z.string(), b: z.string()})
const cutSchema = pairSchema.extend({
	direction: z.enum(Object.values(CutDirection)).default(CutDirection.both)
})

class CutStep implements Step<z.infer<typeof cutSchema>> {
	readonly name = "cut"
	readonly schema = cutSchema
	async run(context: ScenarioContext, {a, b, direction}: z.infer<typeof cutSchema>): Promise<void> {
		context.rig.network.cut(await context.findAll(a), await context.findAll(b), direction)
	}
}

class HealStep implements Step<boolean> {
	readonly name = "heal"
	readonly schema = z.boolean()
	run(context: ScenarioContext): void {
		context.rig.network.heal()
	}
}

class SilenceStep implements Step<z.infer<typeof pairSchema>> {
	readonly name = "silence"
	readonly schema = pairSchema
	async run(context: ScenarioContext, {a, b}: z.infer<typeof pairSchema>): Promise<void> {
		context.rig.network.silence(await context.findAll(a), await context.findAll(b))
	}
}

class ResetStep implements Step<z.infer<typeof pairSchema>> {
	readonly name = "reset"
	readonly schema = pairSchema
	async run(context: ScenarioContext, {a, b}: z.infer<typeof pairSchema>): Promise<void> {
		context.rig.network.reset(await context.findAll(a), await context.findAll(b))
	}
}

const trapSchema = z.strictObject({
	name: z.string(),
	from: z.string(),
	to: z.string(),
	path: z.string(),
	contains: z.string().default(""),
	at: z.enum(Object.values(TrapPoint)),
	action: z.enum(Object.values(TrapAction)).default(TrapAction.hold),
	times: z.int().min(1).default(1)
})

class TrapStep implements Step<z.infer<typeof trapSchema>> {
	readonly name = "trap"
	readonly schema = trapSchema
	async run(
		context: ScenarioContext,
		{from, to, ...options}: z.infer<typeof trapSchema>
	): Promise<void> {
		const trap = new Trap(options)
		context.traps.set(options.name, trap)
		context.rig.network.addTrap(await context.findAll(from), await context.findAll(to), trap)
	}
}

class ReleaseStep implements Step<string> {
	readonly name = "release"
	readonly schema = z.string()
	run(context: ScenarioContext, input: string): void {
		context.traps.get(input)?.release()
	}
}

class FreezeStep implements Step<string> {
	readonly name = "freeze"
	readonly schema = z.string()
	async run(context: ScenarioContext, input: string): Promise<void> {
		for (const name of await context.findAll(input)) context.rig.freeze(name)
	}
}

class ThawStep implements Step<string> {
	readonly name = "thaw"
	readonly schema = z.string()
	async run(context: ScenarioContext, input: string): Promise<void> {
		for (const name of await context.findAll(input)) context.rig.thaw(name)
	}
}

class KillStep implements Step<string> {
	readonly name = "kill"
	readonly schema = z.string()
	async run(context: ScenarioContext, input: string): Promise<void> {
		const names = [...(await context.findAll(input))]
		await Promise.all(names.map(name => context.rig.endNode(name, "SIGKILL")))
	}
}

/** Sends SIGTERM and waits until the process has ended. */
class StopStep implements Step<string> {
	readonly name = "stop"
	readonly schema = z.string()
	async run(context: ScenarioContext, input: string): Promise<void> {
		for (const name of await context.findAll(input)) await context.rig.endNode(name, "SIGTERM")
	}
}

class RestartStep implements Step<string> {
	readonly name = "restart"
	readonly schema = z.string()
	async run(context: ScenarioContext, input: string): Promise<void> {
		const names = [...(await context.findAll(input))]
		await Promise.all(names.map(name => context.rig.startNode(name)))
	}
}

const faultsSchema = z.strictObject({
	outage: z.boolean().optional(),
	slowMs: z.number().optional(),
	loseAnswers: z.int().optional(),
	losePath: z.string().optional(),
	silent: z.boolean().optional()
})

class PlatformStep implements Step<z.infer<typeof faultsSchema>> {
	readonly name = "platform"
	readonly schema = faultsSchema
	run(context: ScenarioContext, input: z.infer<typeof faultsSchema>): Promise<void> {
		return context.rig.control(PLATFORM, "/control/faults", input)
	}
}

class ListLagStep implements Step<number> {
	readonly name = "listLagMs"
	readonly schema = z.number()
	run(context: ScenarioContext, input: number): Promise<void> {
		return context.rig.control(PLATFORM, "/control/list-lag", {ms: input})
	}
}

const switchesSchema = z.strictObject({
	of: z.string(),
	set: z.record(z.string(), z.union([z.boolean(), z.number()]))
})

/** Sets behaviour switches of workers or endpoints, such as an endpoint's `leaving`. */
class SwitchesStep implements Step<z.infer<typeof switchesSchema>> {
	readonly name = "switches"
	readonly schema = switchesSchema
	async run(context: ScenarioContext, {of, set}: z.infer<typeof switchesSchema>): Promise<void> {
		for (const name of await context.findAll(of))
			await context.rig.control(name, "/control/switches", set)
	}
}

/** Lets a fault last for a fixed time. To wait until something happens, use `waitUntil`. */
class DelayStep implements Step<number> {
	readonly name = "lastMs"
	readonly schema = z.number()
	run(_: ScenarioContext, input: number): Promise<void> {
		return pauseFor(input)
	}
}

export const FAULT_STEPS: readonly Step[] = [
	new CutStep(),
	new HealStep(),
	new SilenceStep(),
	new ResetStep(),
	new TrapStep(),
	new ReleaseStep(),
	new FreezeStep(),
	new ThawStep(),
	new KillStep(),
	new StopStep(),
	new RestartStep(),
	new PlatformStep(),
	new ListLagStep(),
	new SwitchesStep(),
	new DelayStep()
] as readonly Step[]
