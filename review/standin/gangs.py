"""Where the members of gangs meet: python3 gangs.py HOST PORT

Each member of a run of a gang keeps a connection here for as long as it is there. Once all members of
one run are present with the same checkpoint, all are told to work. When a member's connection ends
before the gang is done, the others are told that it is broken.
"""

import asyncio
import json
import sys

GANGS = {}


async def member(reader, writer):
    hello = json.loads(await reader.readline())
    key = (hello["gang"], hello["run"])
    gang = GANGS.setdefault(key, {"members": {}, "at_work": False})
    gang["members"][hello["index"]] = (writer, hello["checkpoint"])
    values = {checkpoint for _, checkpoint in gang["members"].values()}
    if len(gang["members"]) == hello["count"] and len(values) == 1:
        gang["at_work"] = True
        for other, _ in gang["members"].values():
            other.write(b"work\n")
    try:
        line = await reader.readline()
    except ConnectionError:
        line = b""
    gang["members"].pop(hello["index"], None)
    if gang["at_work"] and line.strip() != b"done":
        for other, _ in gang["members"].values():
            other.write(b"broken\n")
    writer.close()


async def main():
    server = await asyncio.start_server(member, sys.argv[1], int(sys.argv[2]))
    async with server:
        await server.serve_forever()


asyncio.run(main())
