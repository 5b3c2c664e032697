import { caught, mutants } from './mutants.ts';
const left = mutants.slice(11);
const next = async (): Promise<void> => {
  for (let m = left.shift(); m; m = left.shift())
    console.log(m.name, JSON.stringify(await caught(m, 150).catch(String)));
};
await Promise.all([next(), next(), next()]);
