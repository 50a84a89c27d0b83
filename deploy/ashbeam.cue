// The operator's file of this installation. Nothing in it is on: the platform gives one listener, plain
// connections and no folder that lasts. `build/ashbeam check --schema` prints all that may stand here, and
// docs/calling.md explains it. An example of another installation's:
//
//	#Shop: {limit: {per_s: 500, burst: 50}, each: {per_s: 5, burst: 5, in_hand: 4}}
//
//	calling: {
//		prove: "required"
//		tokens: {keys: "keys", issuer: "https://id.example", audience: "ashbeam", leeway: "30s"}
//		tenants: [
//			#Shop & {name: "shop", path_groups: ["look", "book"]},
//			#Shop & {name: "riders", only_listed: true, subjects: [{name: "app-*"}]},
//		]
//	}
//	tls: {listen: "127.0.0.1:9443", certificate: "chain.pem", key: "key.pem", clients: "optional", trust: "ca.pem"}
