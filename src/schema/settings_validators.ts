/** Validator generated from schema/settings.yaml.
 * @module */

// @ts-nocheck: generated code
"use strict";
export const validate = validate20;
export default validate20;
const schema31 = {"$schema":"https://json-schema.org/draft/2020-12/schema","title":"Settings","description":"Settings of one host, read once at its start.","type":"object","additionalProperties":false,"required":["host","fleet","listen","services","pipelines"],"properties":{"host":{"$ref":"#/$defs/Name"},"folder":{"description":"Data folder; required on a host that votes. `{host}` stands for the\nhost's id. Relative paths start from the folder of the settings file.\n","type":"string","minLength":1},"fleet":{"$ref":"#/$defs/Fleet"},"listen":{"$ref":"#/$defs/Listen"},"services":{"type":"array","minItems":1,"items":{"$ref":"#/$defs/Service"}},"pipelines":{"type":"array","items":{"$ref":"#/$defs/Pipeline"}},"table":{"description":"Rows that the table starts with when it is empty.","type":"array","items":{"$ref":"#/$defs/InitialRow"}},"operators":{"type":"array","items":{"$ref":"#/$defs/Operator"}},"endpointToken":{"$ref":"#/$defs/Secret"},"limits":{"$ref":"#/$defs/Limits"},"log":{"$ref":"#/$defs/Log"},"metrics":{"$ref":"#/$defs/Metrics"}},"$defs":{"Name":{"title":"Name","type":"string","pattern":"^[a-z0-9][a-z0-9.-]*$"},"Secret":{"title":"Secret","description":"A secret by reference, never by value.","type":"object","additionalProperties":false,"minProperties":1,"maxProperties":1,"properties":{"env":{"type":"string","minLength":1,"description":"Name of an environment variable."},"file":{"type":"string","minLength":1,"description":"Path of a file that holds it."}}},"Fleet":{"title":"Fleet","type":"object","additionalProperties":false,"required":["hosts"],"properties":{"key":{"$ref":"#/$defs/Secret"},"hosts":{"type":"array","minItems":1,"items":{"$ref":"#/$defs/Host"}}}},"Host":{"title":"Host","type":"object","additionalProperties":false,"required":["id","dataCentre","address","port"],"properties":{"id":{"$ref":"#/$defs/Name"},"dataCentre":{"$ref":"#/$defs/Name"},"region":{"$ref":"#/$defs/Name"},"address":{"type":"string","minLength":1,"description":"IP number other hosts dial."},"port":{"$ref":"#/$defs/Port"},"voter":{"type":"boolean","description":"Holds the replicated log on its disk."},"observer":{"type":"boolean","description":"Passes the table on to hosts that do not vote."},"listen":{"$ref":"#/$defs/Listen"}}},"Port":{"title":"Port","type":"integer","minimum":0,"maximum":65535},"Listen":{"title":"Listen","description":"Where callers and operators are served; a host's own goes first.","type":"object","additionalProperties":false,"required":["callers","operators"],"properties":{"callers":{"$ref":"#/$defs/Listener"},"operators":{"$ref":"#/$defs/Listener"}}},"Listener":{"title":"Listener","type":"object","additionalProperties":false,"required":["port"],"properties":{"address":{"type":"string","minLength":1,"description":"127.0.0.1 when absent."},"port":{"$ref":"#/$defs/Port"},"tls":{"$ref":"#/$defs/Tls"}}},"Tls":{"title":"Tls","type":"object","additionalProperties":false,"required":["certificate","key"],"properties":{"certificate":{"type":"string","minLength":1,"description":"Path of a PEM file."},"key":{"type":"string","minLength":1,"description":"Path of a PEM file."}}},"Service":{"title":"Service","type":"object","additionalProperties":false,"required":["name","kind"],"properties":{"name":{"$ref":"#/$defs/Name"},"kind":{"enum":["engine","encoder","retriever","reranker","plain"]},"model":{"type":"string","minLength":1},"idempotent":{"description":"Whether its calls may be repeated; true when absent.","type":"boolean"},"slots":{"description":"Calls an endpoint runs at once if it does not say; 8 when absent.","type":"integer","minimum":1},"endpoints":{"description":"Endpoints that do not announce themselves.","type":"array","items":{"$ref":"#/$defs/StaticEndpoint"}}}},"StaticEndpoint":{"title":"StaticEndpoint","type":"object","additionalProperties":false,"required":["id","url","dataCentre"],"properties":{"id":{"$ref":"#/$defs/Name"},"url":{"type":"string","pattern":"^https?://"},"dataCentre":{"$ref":"#/$defs/Name"}}},"Pipeline":{"title":"Pipeline","type":"object","additionalProperties":false,"required":["name","deadline","stages"],"properties":{"name":{"$ref":"#/$defs/Name"},"deadline":{"description":"Milliseconds, when the caller names none; also the most it may name.","type":"integer","minimum":1},"stages":{"type":"array","minItems":1,"maxItems":8,"items":{"$ref":"#/$defs/Stage"}}}},"Stage":{"title":"Stage","type":"object","additionalProperties":false,"required":["name","service"],"properties":{"name":{"$ref":"#/$defs/Name"},"service":{"$ref":"#/$defs/Name"},"top":{"type":"integer","minimum":1,"description":"Documents that a retriever or reranker keeps."},"maxTokens":{"type":"integer","minimum":1,"description":"Most tokens that an engine generates."},"instruction":{"type":"string","description":"Put before the prompt of an engine."}}},"InitialRow":{"title":"InitialRow","type":"object","additionalProperties":false,"required":["row","cells"],"properties":{"row":{"type":"string","pattern":"^(account|kind|service)/[a-z0-9][a-z0-9.-]*$"},"cells":{"type":"object","additionalProperties":{"type":["number","string","boolean"]}}}},"Operator":{"title":"Operator","type":"object","additionalProperties":false,"required":["name","token"],"properties":{"name":{"$ref":"#/$defs/Name"},"token":{"$ref":"#/$defs/Secret"},"role":{"enum":["reader","editor"],"description":"editor when absent."}}},"Limits":{"title":"Limits","type":"object","additionalProperties":false,"properties":{"bodyBytes":{"type":"integer","minimum":1,"description":"Largest body; 4 MiB when absent."},"answerBytes":{"type":"integer","minimum":1,"description":"Largest stage answer; 16 MiB when absent."},"inFlight":{"type":"integer","minimum":1,"description":"Requests in a host at once; 1000 when absent."},"endpointLease":{"type":"integer","minimum":100,"description":"Milliseconds; 1500 when absent."},"loadRate":{"type":"number","exclusiveMinimum":0,"description":"Loads of models a second over all engines, which the weight store allows; 1 when absent."}}},"Log":{"title":"Log","type":"object","additionalProperties":false,"properties":{"level":{"enum":["debug","info","warn","error","silent"]}}},"Metrics":{"title":"Metrics","type":"object","additionalProperties":false,"required":["address","port"],"properties":{"address":{"type":"string","minLength":1},"port":{"$ref":"#/$defs/Port"},"prefix":{"type":"string"}}}}};
const schema32 = {"title":"Name","type":"string","pattern":"^[a-z0-9][a-z0-9.-]*$"};
const schema54 = {"title":"InitialRow","type":"object","additionalProperties":false,"required":["row","cells"],"properties":{"row":{"type":"string","pattern":"^(account|kind|service)/[a-z0-9][a-z0-9.-]*$"},"cells":{"type":"object","additionalProperties":{"type":["number","string","boolean"]}}}};
const schema34 = {"title":"Secret","description":"A secret by reference, never by value.","type":"object","additionalProperties":false,"minProperties":1,"maxProperties":1,"properties":{"env":{"type":"string","minLength":1,"description":"Name of an environment variable."},"file":{"type":"string","minLength":1,"description":"Path of a file that holds it."}}};
const schema59 = {"title":"Limits","type":"object","additionalProperties":false,"properties":{"bodyBytes":{"type":"integer","minimum":1,"description":"Largest body; 4 MiB when absent."},"answerBytes":{"type":"integer","minimum":1,"description":"Largest stage answer; 16 MiB when absent."},"inFlight":{"type":"integer","minimum":1,"description":"Requests in a host at once; 1000 when absent."},"endpointLease":{"type":"integer","minimum":100,"description":"Milliseconds; 1500 when absent."},"loadRate":{"type":"number","exclusiveMinimum":0,"description":"Loads of models a second over all engines, which the weight store allows; 1 when absent."}}};
const schema60 = {"title":"Log","type":"object","additionalProperties":false,"properties":{"level":{"enum":["debug","info","warn","error","silent"]}}};
const func1 = Object.prototype.hasOwnProperty;
const pattern4 = new RegExp("^[a-z0-9][a-z0-9.-]*$", "u");
const pattern15 = new RegExp("^(account|kind|service)/[a-z0-9][a-z0-9.-]*$", "u");
const schema33 = {"title":"Fleet","type":"object","additionalProperties":false,"required":["hosts"],"properties":{"key":{"$ref":"#/$defs/Secret"},"hosts":{"type":"array","minItems":1,"items":{"$ref":"#/$defs/Host"}}}};
const schema35 = {"title":"Host","type":"object","additionalProperties":false,"required":["id","dataCentre","address","port"],"properties":{"id":{"$ref":"#/$defs/Name"},"dataCentre":{"$ref":"#/$defs/Name"},"region":{"$ref":"#/$defs/Name"},"address":{"type":"string","minLength":1,"description":"IP number other hosts dial."},"port":{"$ref":"#/$defs/Port"},"voter":{"type":"boolean","description":"Holds the replicated log on its disk."},"observer":{"type":"boolean","description":"Passes the table on to hosts that do not vote."},"listen":{"$ref":"#/$defs/Listen"}}};
const schema39 = {"title":"Port","type":"integer","minimum":0,"maximum":65535};
const schema40 = {"title":"Listen","description":"Where callers and operators are served; a host's own goes first.","type":"object","additionalProperties":false,"required":["callers","operators"],"properties":{"callers":{"$ref":"#/$defs/Listener"},"operators":{"$ref":"#/$defs/Listener"}}};
const schema41 = {"title":"Listener","type":"object","additionalProperties":false,"required":["port"],"properties":{"address":{"type":"string","minLength":1,"description":"127.0.0.1 when absent."},"port":{"$ref":"#/$defs/Port"},"tls":{"$ref":"#/$defs/Tls"}}};
const schema43 = {"title":"Tls","type":"object","additionalProperties":false,"required":["certificate","key"],"properties":{"certificate":{"type":"string","minLength":1,"description":"Path of a PEM file."},"key":{"type":"string","minLength":1,"description":"Path of a PEM file."}}};

function validate24(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate24.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.port === undefined) && (missing0 = "port")){
validate24.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema41.required,parentSchema:schema41,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "address") || (key0 === "port")) || (key0 === "tls"))){
validate24.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema41,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.address !== undefined){
let data0 = data.address;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length < 1){
validate24.errors = [{instancePath:instancePath+"/address",schemaPath:"#/properties/address/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema41.properties.address,data:data0}];
return false;
}
}
else {
validate24.errors = [{instancePath:instancePath+"/address",schemaPath:"#/properties/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema41.properties.address.type,parentSchema:schema41.properties.address,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.port !== undefined){
let data1 = data.port;
const _errs4 = errors;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate24.errors = [{instancePath:instancePath+"/port",schemaPath:"#/$defs/Port/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema39.type,parentSchema:schema39,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 > 65535 || isNaN(data1)){
validate24.errors = [{instancePath:instancePath+"/port",schemaPath:"#/$defs/Port/maximum",keyword:"maximum",params:{comparison: "<=", limit: 65535},message:"must be <= 65535",schema:65535,parentSchema:schema39,data:data1}];
return false;
}
else {
if(data1 < 0 || isNaN(data1)){
validate24.errors = [{instancePath:instancePath+"/port",schemaPath:"#/$defs/Port/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema39,data:data1}];
return false;
}
}
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.tls !== undefined){
let data2 = data.tls;
const _errs7 = errors;
const _errs8 = errors;
if(errors === _errs8){
if(data2 && typeof data2 == "object" && !Array.isArray(data2)){
let missing1;
if(((data2.certificate === undefined) && (missing1 = "certificate")) || ((data2.key === undefined) && (missing1 = "key"))){
validate24.errors = [{instancePath:instancePath+"/tls",schemaPath:"#/$defs/Tls/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema43.required,parentSchema:schema43,data:data2}];
return false;
}
else {
const _errs10 = errors;
for(const key1 in data2){
if(!((key1 === "certificate") || (key1 === "key"))){
validate24.errors = [{instancePath:instancePath+"/tls",schemaPath:"#/$defs/Tls/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema43,data:data2}];
return false;
break;
}
}
if(_errs10 === errors){
if(data2.certificate !== undefined){
let data3 = data2.certificate;
const _errs11 = errors;
if(errors === _errs11){
if(typeof data3 === "string"){
if(data3.length < 1){
validate24.errors = [{instancePath:instancePath+"/tls/certificate",schemaPath:"#/$defs/Tls/properties/certificate/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema43.properties.certificate,data:data3}];
return false;
}
}
else {
validate24.errors = [{instancePath:instancePath+"/tls/certificate",schemaPath:"#/$defs/Tls/properties/certificate/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema43.properties.certificate.type,parentSchema:schema43.properties.certificate,data:data3}];
return false;
}
}
var valid3 = _errs11 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data2.key !== undefined){
let data4 = data2.key;
const _errs13 = errors;
if(errors === _errs13){
if(typeof data4 === "string"){
if(data4.length < 1){
validate24.errors = [{instancePath:instancePath+"/tls/key",schemaPath:"#/$defs/Tls/properties/key/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema43.properties.key,data:data4}];
return false;
}
}
else {
validate24.errors = [{instancePath:instancePath+"/tls/key",schemaPath:"#/$defs/Tls/properties/key/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema43.properties.key.type,parentSchema:schema43.properties.key,data:data4}];
return false;
}
}
var valid3 = _errs13 === errors;
}
else {
var valid3 = true;
}
}
}
}
}
else {
validate24.errors = [{instancePath:instancePath+"/tls",schemaPath:"#/$defs/Tls/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema43.type,parentSchema:schema43,data:data2}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate24.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema41.type,parentSchema:schema41,data}];
return false;
}
}
validate24.errors = vErrors;
return errors === 0;
}
validate24.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate23(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate23.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.callers === undefined) && (missing0 = "callers")) || ((data.operators === undefined) && (missing0 = "operators"))){
validate23.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema40.required,parentSchema:schema40,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((key0 === "callers") || (key0 === "operators"))){
validate23.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema40,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.callers !== undefined){
const _errs2 = errors;
if(!(validate24(data.callers, {instancePath:instancePath+"/callers",parentData:data,parentDataProperty:"callers",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate24.errors : vErrors.concat(validate24.errors);
errors = vErrors.length;
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.operators !== undefined){
const _errs3 = errors;
if(!(validate24(data.operators, {instancePath:instancePath+"/operators",parentData:data,parentDataProperty:"operators",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate24.errors : vErrors.concat(validate24.errors);
errors = vErrors.length;
}
var valid0 = _errs3 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate23.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema40.type,parentSchema:schema40,data}];
return false;
}
}
validate23.errors = vErrors;
return errors === 0;
}
validate23.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate22(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate22.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((((data.id === undefined) && (missing0 = "id")) || ((data.dataCentre === undefined) && (missing0 = "dataCentre"))) || ((data.address === undefined) && (missing0 = "address"))) || ((data.port === undefined) && (missing0 = "port"))){
validate22.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema35.required,parentSchema:schema35,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((((((key0 === "id") || (key0 === "dataCentre")) || (key0 === "region")) || (key0 === "address")) || (key0 === "port")) || (key0 === "voter")) || (key0 === "observer")) || (key0 === "listen"))){
validate22.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema35,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.id !== undefined){
let data0 = data.id;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(!pattern4.test(data0)){
validate22.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data0}];
return false;
}
}
else {
validate22.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.dataCentre !== undefined){
let data1 = data.dataCentre;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data1 === "string"){
if(!pattern4.test(data1)){
validate22.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data1}];
return false;
}
}
else {
validate22.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data1}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.region !== undefined){
let data2 = data.region;
const _errs8 = errors;
const _errs9 = errors;
if(errors === _errs9){
if(typeof data2 === "string"){
if(!pattern4.test(data2)){
validate22.errors = [{instancePath:instancePath+"/region",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data2}];
return false;
}
}
else {
validate22.errors = [{instancePath:instancePath+"/region",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data2}];
return false;
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.address !== undefined){
let data3 = data.address;
const _errs11 = errors;
if(errors === _errs11){
if(typeof data3 === "string"){
if(data3.length < 1){
validate22.errors = [{instancePath:instancePath+"/address",schemaPath:"#/properties/address/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema35.properties.address,data:data3}];
return false;
}
}
else {
validate22.errors = [{instancePath:instancePath+"/address",schemaPath:"#/properties/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema35.properties.address.type,parentSchema:schema35.properties.address,data:data3}];
return false;
}
}
var valid0 = _errs11 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.port !== undefined){
let data4 = data.port;
const _errs13 = errors;
const _errs14 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate22.errors = [{instancePath:instancePath+"/port",schemaPath:"#/$defs/Port/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema39.type,parentSchema:schema39,data:data4}];
return false;
}
if(errors === _errs14){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 > 65535 || isNaN(data4)){
validate22.errors = [{instancePath:instancePath+"/port",schemaPath:"#/$defs/Port/maximum",keyword:"maximum",params:{comparison: "<=", limit: 65535},message:"must be <= 65535",schema:65535,parentSchema:schema39,data:data4}];
return false;
}
else {
if(data4 < 0 || isNaN(data4)){
validate22.errors = [{instancePath:instancePath+"/port",schemaPath:"#/$defs/Port/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema39,data:data4}];
return false;
}
}
}
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.voter !== undefined){
let data5 = data.voter;
const _errs16 = errors;
if(typeof data5 !== "boolean"){
validate22.errors = [{instancePath:instancePath+"/voter",schemaPath:"#/properties/voter/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema35.properties.voter.type,parentSchema:schema35.properties.voter,data:data5}];
return false;
}
var valid0 = _errs16 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.observer !== undefined){
let data6 = data.observer;
const _errs18 = errors;
if(typeof data6 !== "boolean"){
validate22.errors = [{instancePath:instancePath+"/observer",schemaPath:"#/properties/observer/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema35.properties.observer.type,parentSchema:schema35.properties.observer,data:data6}];
return false;
}
var valid0 = _errs18 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.listen !== undefined){
const _errs20 = errors;
if(!(validate23(data.listen, {instancePath:instancePath+"/listen",parentData:data,parentDataProperty:"listen",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate23.errors : vErrors.concat(validate23.errors);
errors = vErrors.length;
}
var valid0 = _errs20 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
else {
validate22.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema35.type,parentSchema:schema35,data}];
return false;
}
}
validate22.errors = vErrors;
return errors === 0;
}
validate22.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate21(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate21.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((data.hosts === undefined) && (missing0 = "hosts")){
validate21.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema33.required,parentSchema:schema33,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((key0 === "key") || (key0 === "hosts"))){
validate21.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema33,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.key !== undefined){
let data0 = data.key;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(data0 && typeof data0 == "object" && !Array.isArray(data0)){
if(Object.keys(data0).length > 1){
validate21.errors = [{instancePath:instancePath+"/key",schemaPath:"#/$defs/Secret/maxProperties",keyword:"maxProperties",params:{limit: 1},message:"must NOT have more than 1 properties",schema:1,parentSchema:schema34,data:data0}];
return false;
}
else {
if(Object.keys(data0).length < 1){
validate21.errors = [{instancePath:instancePath+"/key",schemaPath:"#/$defs/Secret/minProperties",keyword:"minProperties",params:{limit: 1},message:"must NOT have fewer than 1 properties",schema:1,parentSchema:schema34,data:data0}];
return false;
}
else {
const _errs5 = errors;
for(const key1 in data0){
if(!((key1 === "env") || (key1 === "file"))){
validate21.errors = [{instancePath:instancePath+"/key",schemaPath:"#/$defs/Secret/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema34,data:data0}];
return false;
break;
}
}
if(_errs5 === errors){
if(data0.env !== undefined){
let data1 = data0.env;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data1 === "string"){
if(data1.length < 1){
validate21.errors = [{instancePath:instancePath+"/key/env",schemaPath:"#/$defs/Secret/properties/env/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34.properties.env,data:data1}];
return false;
}
}
else {
validate21.errors = [{instancePath:instancePath+"/key/env",schemaPath:"#/$defs/Secret/properties/env/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.env.type,parentSchema:schema34.properties.env,data:data1}];
return false;
}
}
var valid2 = _errs6 === errors;
}
else {
var valid2 = true;
}
if(valid2){
if(data0.file !== undefined){
let data2 = data0.file;
const _errs8 = errors;
if(errors === _errs8){
if(typeof data2 === "string"){
if(data2.length < 1){
validate21.errors = [{instancePath:instancePath+"/key/file",schemaPath:"#/$defs/Secret/properties/file/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34.properties.file,data:data2}];
return false;
}
}
else {
validate21.errors = [{instancePath:instancePath+"/key/file",schemaPath:"#/$defs/Secret/properties/file/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.file.type,parentSchema:schema34.properties.file,data:data2}];
return false;
}
}
var valid2 = _errs8 === errors;
}
else {
var valid2 = true;
}
}
}
}
}
}
else {
validate21.errors = [{instancePath:instancePath+"/key",schemaPath:"#/$defs/Secret/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema34.type,parentSchema:schema34,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.hosts !== undefined){
let data3 = data.hosts;
const _errs10 = errors;
if(errors === _errs10){
if(Array.isArray(data3)){
if(data3.length < 1){
validate21.errors = [{instancePath:instancePath+"/hosts",schemaPath:"#/properties/hosts/minItems",keyword:"minItems",params:{limit: 1},message:"must NOT have fewer than 1 items",schema:1,parentSchema:schema33.properties.hosts,data:data3}];
return false;
}
else {
var valid3 = true;
const len0 = data3.length;
for(let i0=0; i0<len0; i0++){
const _errs12 = errors;
if(!(validate22(data3[i0], {instancePath:instancePath+"/hosts/" + i0,parentData:data3,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate22.errors : vErrors.concat(validate22.errors);
errors = vErrors.length;
}
var valid3 = _errs12 === errors;
if(!valid3){
break;
}
}
}
}
else {
validate21.errors = [{instancePath:instancePath+"/hosts",schemaPath:"#/properties/hosts/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema33.properties.hosts.type,parentSchema:schema33.properties.hosts,data:data3}];
return false;
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
else {
validate21.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema33.type,parentSchema:schema33,data}];
return false;
}
}
validate21.errors = vErrors;
return errors === 0;
}
validate21.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema44 = {"title":"Service","type":"object","additionalProperties":false,"required":["name","kind"],"properties":{"name":{"$ref":"#/$defs/Name"},"kind":{"enum":["engine","encoder","retriever","reranker","plain"]},"model":{"type":"string","minLength":1},"idempotent":{"description":"Whether its calls may be repeated; true when absent.","type":"boolean"},"slots":{"description":"Calls an endpoint runs at once if it does not say; 8 when absent.","type":"integer","minimum":1},"endpoints":{"description":"Endpoints that do not announce themselves.","type":"array","items":{"$ref":"#/$defs/StaticEndpoint"}}}};
const schema46 = {"title":"StaticEndpoint","type":"object","additionalProperties":false,"required":["id","url","dataCentre"],"properties":{"id":{"$ref":"#/$defs/Name"},"url":{"type":"string","pattern":"^https?://"},"dataCentre":{"$ref":"#/$defs/Name"}}};
const pattern10 = new RegExp("^https?://", "u");

function validate32(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate32.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.id === undefined) && (missing0 = "id")) || ((data.url === undefined) && (missing0 = "url"))) || ((data.dataCentre === undefined) && (missing0 = "dataCentre"))){
validate32.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema46.required,parentSchema:schema46,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "id") || (key0 === "url")) || (key0 === "dataCentre"))){
validate32.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema46,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.id !== undefined){
let data0 = data.id;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(!pattern4.test(data0)){
validate32.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data0}];
return false;
}
}
else {
validate32.errors = [{instancePath:instancePath+"/id",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.url !== undefined){
let data1 = data.url;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data1 === "string"){
if(!pattern10.test(data1)){
validate32.errors = [{instancePath:instancePath+"/url",schemaPath:"#/properties/url/pattern",keyword:"pattern",params:{pattern: "^https?://"},message:"must match pattern \""+"^https?://"+"\"",schema:"^https?://",parentSchema:schema46.properties.url,data:data1}];
return false;
}
}
else {
validate32.errors = [{instancePath:instancePath+"/url",schemaPath:"#/properties/url/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema46.properties.url.type,parentSchema:schema46.properties.url,data:data1}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.dataCentre !== undefined){
let data2 = data.dataCentre;
const _errs7 = errors;
const _errs8 = errors;
if(errors === _errs8){
if(typeof data2 === "string"){
if(!pattern4.test(data2)){
validate32.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data2}];
return false;
}
}
else {
validate32.errors = [{instancePath:instancePath+"/dataCentre",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data2}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate32.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema46.type,parentSchema:schema46,data}];
return false;
}
}
validate32.errors = vErrors;
return errors === 0;
}
validate32.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate31(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate31.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.name === undefined) && (missing0 = "name")) || ((data.kind === undefined) && (missing0 = "kind"))){
validate31.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema44.required,parentSchema:schema44,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!((((((key0 === "name") || (key0 === "kind")) || (key0 === "model")) || (key0 === "idempotent")) || (key0 === "slots")) || (key0 === "endpoints"))){
validate31.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema44,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.name !== undefined){
let data0 = data.name;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(!pattern4.test(data0)){
validate31.errors = [{instancePath:instancePath+"/name",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data0}];
return false;
}
}
else {
validate31.errors = [{instancePath:instancePath+"/name",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.kind !== undefined){
let data1 = data.kind;
const _errs5 = errors;
if(!(((((data1 === "engine") || (data1 === "encoder")) || (data1 === "retriever")) || (data1 === "reranker")) || (data1 === "plain"))){
validate31.errors = [{instancePath:instancePath+"/kind",schemaPath:"#/properties/kind/enum",keyword:"enum",params:{allowedValues: schema44.properties.kind.enum},message:"must be equal to one of the allowed values",schema:schema44.properties.kind.enum,parentSchema:schema44.properties.kind,data:data1}];
return false;
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.model !== undefined){
let data2 = data.model;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data2 === "string"){
if(data2.length < 1){
validate31.errors = [{instancePath:instancePath+"/model",schemaPath:"#/properties/model/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema44.properties.model,data:data2}];
return false;
}
}
else {
validate31.errors = [{instancePath:instancePath+"/model",schemaPath:"#/properties/model/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema44.properties.model.type,parentSchema:schema44.properties.model,data:data2}];
return false;
}
}
var valid0 = _errs6 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.idempotent !== undefined){
let data3 = data.idempotent;
const _errs8 = errors;
if(typeof data3 !== "boolean"){
validate31.errors = [{instancePath:instancePath+"/idempotent",schemaPath:"#/properties/idempotent/type",keyword:"type",params:{type: "boolean"},message:"must be boolean",schema:schema44.properties.idempotent.type,parentSchema:schema44.properties.idempotent,data:data3}];
return false;
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.slots !== undefined){
let data4 = data.slots;
const _errs10 = errors;
if(!(((typeof data4 == "number") && (!(data4 % 1) && !isNaN(data4))) && (isFinite(data4)))){
validate31.errors = [{instancePath:instancePath+"/slots",schemaPath:"#/properties/slots/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema44.properties.slots.type,parentSchema:schema44.properties.slots,data:data4}];
return false;
}
if(errors === _errs10){
if((typeof data4 == "number") && (isFinite(data4))){
if(data4 < 1 || isNaN(data4)){
validate31.errors = [{instancePath:instancePath+"/slots",schemaPath:"#/properties/slots/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema44.properties.slots,data:data4}];
return false;
}
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.endpoints !== undefined){
let data5 = data.endpoints;
const _errs12 = errors;
if(errors === _errs12){
if(Array.isArray(data5)){
var valid2 = true;
const len0 = data5.length;
for(let i0=0; i0<len0; i0++){
const _errs14 = errors;
if(!(validate32(data5[i0], {instancePath:instancePath+"/endpoints/" + i0,parentData:data5,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate32.errors : vErrors.concat(validate32.errors);
errors = vErrors.length;
}
var valid2 = _errs14 === errors;
if(!valid2){
break;
}
}
}
else {
validate31.errors = [{instancePath:instancePath+"/endpoints",schemaPath:"#/properties/endpoints/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema44.properties.endpoints.type,parentSchema:schema44.properties.endpoints,data:data5}];
return false;
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
else {
validate31.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema44.type,parentSchema:schema44,data}];
return false;
}
}
validate31.errors = vErrors;
return errors === 0;
}
validate31.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema49 = {"title":"Pipeline","type":"object","additionalProperties":false,"required":["name","deadline","stages"],"properties":{"name":{"$ref":"#/$defs/Name"},"deadline":{"description":"Milliseconds, when the caller names none; also the most it may name.","type":"integer","minimum":1},"stages":{"type":"array","minItems":1,"maxItems":8,"items":{"$ref":"#/$defs/Stage"}}}};
const schema51 = {"title":"Stage","type":"object","additionalProperties":false,"required":["name","service"],"properties":{"name":{"$ref":"#/$defs/Name"},"service":{"$ref":"#/$defs/Name"},"top":{"type":"integer","minimum":1,"description":"Documents that a retriever or reranker keeps."},"maxTokens":{"type":"integer","minimum":1,"description":"Most tokens that an engine generates."},"instruction":{"type":"string","description":"Put before the prompt of an engine."}}};

function validate36(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate36.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.name === undefined) && (missing0 = "name")) || ((data.service === undefined) && (missing0 = "service"))){
validate36.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema51.required,parentSchema:schema51,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((((key0 === "name") || (key0 === "service")) || (key0 === "top")) || (key0 === "maxTokens")) || (key0 === "instruction"))){
validate36.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema51,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.name !== undefined){
let data0 = data.name;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(!pattern4.test(data0)){
validate36.errors = [{instancePath:instancePath+"/name",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data0}];
return false;
}
}
else {
validate36.errors = [{instancePath:instancePath+"/name",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.service !== undefined){
let data1 = data.service;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(typeof data1 === "string"){
if(!pattern4.test(data1)){
validate36.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data1}];
return false;
}
}
else {
validate36.errors = [{instancePath:instancePath+"/service",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data1}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.top !== undefined){
let data2 = data.top;
const _errs8 = errors;
if(!(((typeof data2 == "number") && (!(data2 % 1) && !isNaN(data2))) && (isFinite(data2)))){
validate36.errors = [{instancePath:instancePath+"/top",schemaPath:"#/properties/top/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema51.properties.top.type,parentSchema:schema51.properties.top,data:data2}];
return false;
}
if(errors === _errs8){
if((typeof data2 == "number") && (isFinite(data2))){
if(data2 < 1 || isNaN(data2)){
validate36.errors = [{instancePath:instancePath+"/top",schemaPath:"#/properties/top/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema51.properties.top,data:data2}];
return false;
}
}
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.maxTokens !== undefined){
let data3 = data.maxTokens;
const _errs10 = errors;
if(!(((typeof data3 == "number") && (!(data3 % 1) && !isNaN(data3))) && (isFinite(data3)))){
validate36.errors = [{instancePath:instancePath+"/maxTokens",schemaPath:"#/properties/maxTokens/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema51.properties.maxTokens.type,parentSchema:schema51.properties.maxTokens,data:data3}];
return false;
}
if(errors === _errs10){
if((typeof data3 == "number") && (isFinite(data3))){
if(data3 < 1 || isNaN(data3)){
validate36.errors = [{instancePath:instancePath+"/maxTokens",schemaPath:"#/properties/maxTokens/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema51.properties.maxTokens,data:data3}];
return false;
}
}
}
var valid0 = _errs10 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.instruction !== undefined){
let data4 = data.instruction;
const _errs12 = errors;
if(typeof data4 !== "string"){
validate36.errors = [{instancePath:instancePath+"/instruction",schemaPath:"#/properties/instruction/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema51.properties.instruction.type,parentSchema:schema51.properties.instruction,data:data4}];
return false;
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
else {
validate36.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema51.type,parentSchema:schema51,data}];
return false;
}
}
validate36.errors = vErrors;
return errors === 0;
}
validate36.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate35(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate35.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((data.name === undefined) && (missing0 = "name")) || ((data.deadline === undefined) && (missing0 = "deadline"))) || ((data.stages === undefined) && (missing0 = "stages"))){
validate35.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema49.required,parentSchema:schema49,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "name") || (key0 === "deadline")) || (key0 === "stages"))){
validate35.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema49,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.name !== undefined){
let data0 = data.name;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(!pattern4.test(data0)){
validate35.errors = [{instancePath:instancePath+"/name",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data0}];
return false;
}
}
else {
validate35.errors = [{instancePath:instancePath+"/name",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.deadline !== undefined){
let data1 = data.deadline;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate35.errors = [{instancePath:instancePath+"/deadline",schemaPath:"#/properties/deadline/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema49.properties.deadline.type,parentSchema:schema49.properties.deadline,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 < 1 || isNaN(data1)){
validate35.errors = [{instancePath:instancePath+"/deadline",schemaPath:"#/properties/deadline/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema49.properties.deadline,data:data1}];
return false;
}
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.stages !== undefined){
let data2 = data.stages;
const _errs7 = errors;
if(errors === _errs7){
if(Array.isArray(data2)){
if(data2.length > 8){
validate35.errors = [{instancePath:instancePath+"/stages",schemaPath:"#/properties/stages/maxItems",keyword:"maxItems",params:{limit: 8},message:"must NOT have more than 8 items",schema:8,parentSchema:schema49.properties.stages,data:data2}];
return false;
}
else {
if(data2.length < 1){
validate35.errors = [{instancePath:instancePath+"/stages",schemaPath:"#/properties/stages/minItems",keyword:"minItems",params:{limit: 1},message:"must NOT have fewer than 1 items",schema:1,parentSchema:schema49.properties.stages,data:data2}];
return false;
}
else {
var valid2 = true;
const len0 = data2.length;
for(let i0=0; i0<len0; i0++){
const _errs9 = errors;
if(!(validate36(data2[i0], {instancePath:instancePath+"/stages/" + i0,parentData:data2,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate36.errors : vErrors.concat(validate36.errors);
errors = vErrors.length;
}
var valid2 = _errs9 === errors;
if(!valid2){
break;
}
}
}
}
}
else {
validate35.errors = [{instancePath:instancePath+"/stages",schemaPath:"#/properties/stages/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema49.properties.stages.type,parentSchema:schema49.properties.stages,data:data2}];
return false;
}
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate35.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema49.type,parentSchema:schema49,data}];
return false;
}
}
validate35.errors = vErrors;
return errors === 0;
}
validate35.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema55 = {"title":"Operator","type":"object","additionalProperties":false,"required":["name","token"],"properties":{"name":{"$ref":"#/$defs/Name"},"token":{"$ref":"#/$defs/Secret"},"role":{"enum":["reader","editor"],"description":"editor when absent."}}};

function validate39(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate39.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.name === undefined) && (missing0 = "name")) || ((data.token === undefined) && (missing0 = "token"))){
validate39.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema55.required,parentSchema:schema55,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "name") || (key0 === "token")) || (key0 === "role"))){
validate39.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema55,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.name !== undefined){
let data0 = data.name;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(!pattern4.test(data0)){
validate39.errors = [{instancePath:instancePath+"/name",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data0}];
return false;
}
}
else {
validate39.errors = [{instancePath:instancePath+"/name",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.token !== undefined){
let data1 = data.token;
const _errs5 = errors;
const _errs6 = errors;
if(errors === _errs6){
if(data1 && typeof data1 == "object" && !Array.isArray(data1)){
if(Object.keys(data1).length > 1){
validate39.errors = [{instancePath:instancePath+"/token",schemaPath:"#/$defs/Secret/maxProperties",keyword:"maxProperties",params:{limit: 1},message:"must NOT have more than 1 properties",schema:1,parentSchema:schema34,data:data1}];
return false;
}
else {
if(Object.keys(data1).length < 1){
validate39.errors = [{instancePath:instancePath+"/token",schemaPath:"#/$defs/Secret/minProperties",keyword:"minProperties",params:{limit: 1},message:"must NOT have fewer than 1 properties",schema:1,parentSchema:schema34,data:data1}];
return false;
}
else {
const _errs8 = errors;
for(const key1 in data1){
if(!((key1 === "env") || (key1 === "file"))){
validate39.errors = [{instancePath:instancePath+"/token",schemaPath:"#/$defs/Secret/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema34,data:data1}];
return false;
break;
}
}
if(_errs8 === errors){
if(data1.env !== undefined){
let data2 = data1.env;
const _errs9 = errors;
if(errors === _errs9){
if(typeof data2 === "string"){
if(data2.length < 1){
validate39.errors = [{instancePath:instancePath+"/token/env",schemaPath:"#/$defs/Secret/properties/env/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34.properties.env,data:data2}];
return false;
}
}
else {
validate39.errors = [{instancePath:instancePath+"/token/env",schemaPath:"#/$defs/Secret/properties/env/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.env.type,parentSchema:schema34.properties.env,data:data2}];
return false;
}
}
var valid3 = _errs9 === errors;
}
else {
var valid3 = true;
}
if(valid3){
if(data1.file !== undefined){
let data3 = data1.file;
const _errs11 = errors;
if(errors === _errs11){
if(typeof data3 === "string"){
if(data3.length < 1){
validate39.errors = [{instancePath:instancePath+"/token/file",schemaPath:"#/$defs/Secret/properties/file/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34.properties.file,data:data3}];
return false;
}
}
else {
validate39.errors = [{instancePath:instancePath+"/token/file",schemaPath:"#/$defs/Secret/properties/file/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.file.type,parentSchema:schema34.properties.file,data:data3}];
return false;
}
}
var valid3 = _errs11 === errors;
}
else {
var valid3 = true;
}
}
}
}
}
}
else {
validate39.errors = [{instancePath:instancePath+"/token",schemaPath:"#/$defs/Secret/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema34.type,parentSchema:schema34,data:data1}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.role !== undefined){
let data4 = data.role;
const _errs13 = errors;
if(!((data4 === "reader") || (data4 === "editor"))){
validate39.errors = [{instancePath:instancePath+"/role",schemaPath:"#/properties/role/enum",keyword:"enum",params:{allowedValues: schema55.properties.role.enum},message:"must be equal to one of the allowed values",schema:schema55.properties.role.enum,parentSchema:schema55.properties.role,data:data4}];
return false;
}
var valid0 = _errs13 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate39.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema55.type,parentSchema:schema55,data}];
return false;
}
}
validate39.errors = vErrors;
return errors === 0;
}
validate39.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

const schema61 = {"title":"Metrics","type":"object","additionalProperties":false,"required":["address","port"],"properties":{"address":{"type":"string","minLength":1},"port":{"$ref":"#/$defs/Port"},"prefix":{"type":"string"}}};

function validate41(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate41.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if(((data.address === undefined) && (missing0 = "address")) || ((data.port === undefined) && (missing0 = "port"))){
validate41.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema61.required,parentSchema:schema61,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(((key0 === "address") || (key0 === "port")) || (key0 === "prefix"))){
validate41.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema61,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.address !== undefined){
let data0 = data.address;
const _errs2 = errors;
if(errors === _errs2){
if(typeof data0 === "string"){
if(data0.length < 1){
validate41.errors = [{instancePath:instancePath+"/address",schemaPath:"#/properties/address/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema61.properties.address,data:data0}];
return false;
}
}
else {
validate41.errors = [{instancePath:instancePath+"/address",schemaPath:"#/properties/address/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema61.properties.address.type,parentSchema:schema61.properties.address,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.port !== undefined){
let data1 = data.port;
const _errs4 = errors;
const _errs5 = errors;
if(!(((typeof data1 == "number") && (!(data1 % 1) && !isNaN(data1))) && (isFinite(data1)))){
validate41.errors = [{instancePath:instancePath+"/port",schemaPath:"#/$defs/Port/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema39.type,parentSchema:schema39,data:data1}];
return false;
}
if(errors === _errs5){
if((typeof data1 == "number") && (isFinite(data1))){
if(data1 > 65535 || isNaN(data1)){
validate41.errors = [{instancePath:instancePath+"/port",schemaPath:"#/$defs/Port/maximum",keyword:"maximum",params:{comparison: "<=", limit: 65535},message:"must be <= 65535",schema:65535,parentSchema:schema39,data:data1}];
return false;
}
else {
if(data1 < 0 || isNaN(data1)){
validate41.errors = [{instancePath:instancePath+"/port",schemaPath:"#/$defs/Port/minimum",keyword:"minimum",params:{comparison: ">=", limit: 0},message:"must be >= 0",schema:0,parentSchema:schema39,data:data1}];
return false;
}
}
}
}
var valid0 = _errs4 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.prefix !== undefined){
let data2 = data.prefix;
const _errs7 = errors;
if(typeof data2 !== "string"){
validate41.errors = [{instancePath:instancePath+"/prefix",schemaPath:"#/properties/prefix/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema61.properties.prefix.type,parentSchema:schema61.properties.prefix,data:data2}];
return false;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
else {
validate41.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema61.type,parentSchema:schema61,data}];
return false;
}
}
validate41.errors = vErrors;
return errors === 0;
}
validate41.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};


function validate20(data, {instancePath="", parentData, parentDataProperty, rootData=data, dynamicAnchors={}}={}){
let vErrors = null;
let errors = 0;
const evaluated0 = validate20.evaluated;
if(evaluated0.dynamicProps){
evaluated0.props = undefined;
}
if(evaluated0.dynamicItems){
evaluated0.items = undefined;
}
if(errors === 0){
if(data && typeof data == "object" && !Array.isArray(data)){
let missing0;
if((((((data.host === undefined) && (missing0 = "host")) || ((data.fleet === undefined) && (missing0 = "fleet"))) || ((data.listen === undefined) && (missing0 = "listen"))) || ((data.services === undefined) && (missing0 = "services"))) || ((data.pipelines === undefined) && (missing0 = "pipelines"))){
validate20.errors = [{instancePath,schemaPath:"#/required",keyword:"required",params:{missingProperty: missing0},message:"must have required property '"+missing0+"'",schema:schema31.required,parentSchema:schema31,data}];
return false;
}
else {
const _errs1 = errors;
for(const key0 in data){
if(!(func1.call(schema31.properties, key0))){
validate20.errors = [{instancePath,schemaPath:"#/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key0},message:"must NOT have additional properties",schema:false,parentSchema:schema31,data}];
return false;
break;
}
}
if(_errs1 === errors){
if(data.host !== undefined){
let data0 = data.host;
const _errs2 = errors;
const _errs3 = errors;
if(errors === _errs3){
if(typeof data0 === "string"){
if(!pattern4.test(data0)){
validate20.errors = [{instancePath:instancePath+"/host",schemaPath:"#/$defs/Name/pattern",keyword:"pattern",params:{pattern: "^[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^[a-z0-9][a-z0-9.-]*$",parentSchema:schema32,data:data0}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/host",schemaPath:"#/$defs/Name/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema32.type,parentSchema:schema32,data:data0}];
return false;
}
}
var valid0 = _errs2 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.folder !== undefined){
let data1 = data.folder;
const _errs5 = errors;
if(errors === _errs5){
if(typeof data1 === "string"){
if(data1.length < 1){
validate20.errors = [{instancePath:instancePath+"/folder",schemaPath:"#/properties/folder/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema31.properties.folder,data:data1}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/folder",schemaPath:"#/properties/folder/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema31.properties.folder.type,parentSchema:schema31.properties.folder,data:data1}];
return false;
}
}
var valid0 = _errs5 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.fleet !== undefined){
const _errs7 = errors;
if(!(validate21(data.fleet, {instancePath:instancePath+"/fleet",parentData:data,parentDataProperty:"fleet",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate21.errors : vErrors.concat(validate21.errors);
errors = vErrors.length;
}
var valid0 = _errs7 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.listen !== undefined){
const _errs8 = errors;
if(!(validate23(data.listen, {instancePath:instancePath+"/listen",parentData:data,parentDataProperty:"listen",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate23.errors : vErrors.concat(validate23.errors);
errors = vErrors.length;
}
var valid0 = _errs8 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.services !== undefined){
let data4 = data.services;
const _errs9 = errors;
if(errors === _errs9){
if(Array.isArray(data4)){
if(data4.length < 1){
validate20.errors = [{instancePath:instancePath+"/services",schemaPath:"#/properties/services/minItems",keyword:"minItems",params:{limit: 1},message:"must NOT have fewer than 1 items",schema:1,parentSchema:schema31.properties.services,data:data4}];
return false;
}
else {
var valid2 = true;
const len0 = data4.length;
for(let i0=0; i0<len0; i0++){
const _errs11 = errors;
if(!(validate31(data4[i0], {instancePath:instancePath+"/services/" + i0,parentData:data4,parentDataProperty:i0,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate31.errors : vErrors.concat(validate31.errors);
errors = vErrors.length;
}
var valid2 = _errs11 === errors;
if(!valid2){
break;
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/services",schemaPath:"#/properties/services/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema31.properties.services.type,parentSchema:schema31.properties.services,data:data4}];
return false;
}
}
var valid0 = _errs9 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.pipelines !== undefined){
let data6 = data.pipelines;
const _errs12 = errors;
if(errors === _errs12){
if(Array.isArray(data6)){
var valid3 = true;
const len1 = data6.length;
for(let i1=0; i1<len1; i1++){
const _errs14 = errors;
if(!(validate35(data6[i1], {instancePath:instancePath+"/pipelines/" + i1,parentData:data6,parentDataProperty:i1,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate35.errors : vErrors.concat(validate35.errors);
errors = vErrors.length;
}
var valid3 = _errs14 === errors;
if(!valid3){
break;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/pipelines",schemaPath:"#/properties/pipelines/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema31.properties.pipelines.type,parentSchema:schema31.properties.pipelines,data:data6}];
return false;
}
}
var valid0 = _errs12 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.table !== undefined){
let data8 = data.table;
const _errs15 = errors;
if(errors === _errs15){
if(Array.isArray(data8)){
var valid4 = true;
const len2 = data8.length;
for(let i2=0; i2<len2; i2++){
let data9 = data8[i2];
const _errs17 = errors;
const _errs18 = errors;
if(errors === _errs18){
if(data9 && typeof data9 == "object" && !Array.isArray(data9)){
let missing1;
if(((data9.row === undefined) && (missing1 = "row")) || ((data9.cells === undefined) && (missing1 = "cells"))){
validate20.errors = [{instancePath:instancePath+"/table/" + i2,schemaPath:"#/$defs/InitialRow/required",keyword:"required",params:{missingProperty: missing1},message:"must have required property '"+missing1+"'",schema:schema54.required,parentSchema:schema54,data:data9}];
return false;
}
else {
const _errs20 = errors;
for(const key1 in data9){
if(!((key1 === "row") || (key1 === "cells"))){
validate20.errors = [{instancePath:instancePath+"/table/" + i2,schemaPath:"#/$defs/InitialRow/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key1},message:"must NOT have additional properties",schema:false,parentSchema:schema54,data:data9}];
return false;
break;
}
}
if(_errs20 === errors){
if(data9.row !== undefined){
let data10 = data9.row;
const _errs21 = errors;
if(errors === _errs21){
if(typeof data10 === "string"){
if(!pattern15.test(data10)){
validate20.errors = [{instancePath:instancePath+"/table/" + i2+"/row",schemaPath:"#/$defs/InitialRow/properties/row/pattern",keyword:"pattern",params:{pattern: "^(account|kind|service)/[a-z0-9][a-z0-9.-]*$"},message:"must match pattern \""+"^(account|kind|service)/[a-z0-9][a-z0-9.-]*$"+"\"",schema:"^(account|kind|service)/[a-z0-9][a-z0-9.-]*$",parentSchema:schema54.properties.row,data:data10}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/table/" + i2+"/row",schemaPath:"#/$defs/InitialRow/properties/row/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema54.properties.row.type,parentSchema:schema54.properties.row,data:data10}];
return false;
}
}
var valid6 = _errs21 === errors;
}
else {
var valid6 = true;
}
if(valid6){
if(data9.cells !== undefined){
let data11 = data9.cells;
const _errs23 = errors;
if(errors === _errs23){
if(data11 && typeof data11 == "object" && !Array.isArray(data11)){
for(const key2 in data11){
let data12 = data11[key2];
const _errs26 = errors;
if(((!((typeof data12 == "number") && (isFinite(data12)))) && (typeof data12 !== "string")) && (typeof data12 !== "boolean")){
validate20.errors = [{instancePath:instancePath+"/table/" + i2+"/cells/" + key2.replace(/~/g, "~0").replace(/\//g, "~1"),schemaPath:"#/$defs/InitialRow/properties/cells/additionalProperties/type",keyword:"type",params:{type: schema54.properties.cells.additionalProperties.type},message:"must be number,string,boolean",schema:schema54.properties.cells.additionalProperties.type,parentSchema:schema54.properties.cells.additionalProperties,data:data12}];
return false;
}
var valid7 = _errs26 === errors;
if(!valid7){
break;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/table/" + i2+"/cells",schemaPath:"#/$defs/InitialRow/properties/cells/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema54.properties.cells.type,parentSchema:schema54.properties.cells,data:data11}];
return false;
}
}
var valid6 = _errs23 === errors;
}
else {
var valid6 = true;
}
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/table/" + i2,schemaPath:"#/$defs/InitialRow/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema54.type,parentSchema:schema54,data:data9}];
return false;
}
}
var valid4 = _errs17 === errors;
if(!valid4){
break;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/table",schemaPath:"#/properties/table/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema31.properties.table.type,parentSchema:schema31.properties.table,data:data8}];
return false;
}
}
var valid0 = _errs15 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.operators !== undefined){
let data13 = data.operators;
const _errs28 = errors;
if(errors === _errs28){
if(Array.isArray(data13)){
var valid8 = true;
const len3 = data13.length;
for(let i3=0; i3<len3; i3++){
const _errs30 = errors;
if(!(validate39(data13[i3], {instancePath:instancePath+"/operators/" + i3,parentData:data13,parentDataProperty:i3,rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate39.errors : vErrors.concat(validate39.errors);
errors = vErrors.length;
}
var valid8 = _errs30 === errors;
if(!valid8){
break;
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/operators",schemaPath:"#/properties/operators/type",keyword:"type",params:{type: "array"},message:"must be array",schema:schema31.properties.operators.type,parentSchema:schema31.properties.operators,data:data13}];
return false;
}
}
var valid0 = _errs28 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.endpointToken !== undefined){
let data15 = data.endpointToken;
const _errs31 = errors;
const _errs32 = errors;
if(errors === _errs32){
if(data15 && typeof data15 == "object" && !Array.isArray(data15)){
if(Object.keys(data15).length > 1){
validate20.errors = [{instancePath:instancePath+"/endpointToken",schemaPath:"#/$defs/Secret/maxProperties",keyword:"maxProperties",params:{limit: 1},message:"must NOT have more than 1 properties",schema:1,parentSchema:schema34,data:data15}];
return false;
}
else {
if(Object.keys(data15).length < 1){
validate20.errors = [{instancePath:instancePath+"/endpointToken",schemaPath:"#/$defs/Secret/minProperties",keyword:"minProperties",params:{limit: 1},message:"must NOT have fewer than 1 properties",schema:1,parentSchema:schema34,data:data15}];
return false;
}
else {
const _errs34 = errors;
for(const key3 in data15){
if(!((key3 === "env") || (key3 === "file"))){
validate20.errors = [{instancePath:instancePath+"/endpointToken",schemaPath:"#/$defs/Secret/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key3},message:"must NOT have additional properties",schema:false,parentSchema:schema34,data:data15}];
return false;
break;
}
}
if(_errs34 === errors){
if(data15.env !== undefined){
let data16 = data15.env;
const _errs35 = errors;
if(errors === _errs35){
if(typeof data16 === "string"){
if(data16.length < 1){
validate20.errors = [{instancePath:instancePath+"/endpointToken/env",schemaPath:"#/$defs/Secret/properties/env/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34.properties.env,data:data16}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/endpointToken/env",schemaPath:"#/$defs/Secret/properties/env/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.env.type,parentSchema:schema34.properties.env,data:data16}];
return false;
}
}
var valid10 = _errs35 === errors;
}
else {
var valid10 = true;
}
if(valid10){
if(data15.file !== undefined){
let data17 = data15.file;
const _errs37 = errors;
if(errors === _errs37){
if(typeof data17 === "string"){
if(data17.length < 1){
validate20.errors = [{instancePath:instancePath+"/endpointToken/file",schemaPath:"#/$defs/Secret/properties/file/minLength",keyword:"minLength",params:{limit: 1},message:"must NOT have fewer than 1 characters",schema:1,parentSchema:schema34.properties.file,data:data17}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/endpointToken/file",schemaPath:"#/$defs/Secret/properties/file/type",keyword:"type",params:{type: "string"},message:"must be string",schema:schema34.properties.file.type,parentSchema:schema34.properties.file,data:data17}];
return false;
}
}
var valid10 = _errs37 === errors;
}
else {
var valid10 = true;
}
}
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/endpointToken",schemaPath:"#/$defs/Secret/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema34.type,parentSchema:schema34,data:data15}];
return false;
}
}
var valid0 = _errs31 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.limits !== undefined){
let data18 = data.limits;
const _errs39 = errors;
const _errs40 = errors;
if(errors === _errs40){
if(data18 && typeof data18 == "object" && !Array.isArray(data18)){
const _errs42 = errors;
for(const key4 in data18){
if(!(((((key4 === "bodyBytes") || (key4 === "answerBytes")) || (key4 === "inFlight")) || (key4 === "endpointLease")) || (key4 === "loadRate"))){
validate20.errors = [{instancePath:instancePath+"/limits",schemaPath:"#/$defs/Limits/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key4},message:"must NOT have additional properties",schema:false,parentSchema:schema59,data:data18}];
return false;
break;
}
}
if(_errs42 === errors){
if(data18.bodyBytes !== undefined){
let data19 = data18.bodyBytes;
const _errs43 = errors;
if(!(((typeof data19 == "number") && (!(data19 % 1) && !isNaN(data19))) && (isFinite(data19)))){
validate20.errors = [{instancePath:instancePath+"/limits/bodyBytes",schemaPath:"#/$defs/Limits/properties/bodyBytes/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema59.properties.bodyBytes.type,parentSchema:schema59.properties.bodyBytes,data:data19}];
return false;
}
if(errors === _errs43){
if((typeof data19 == "number") && (isFinite(data19))){
if(data19 < 1 || isNaN(data19)){
validate20.errors = [{instancePath:instancePath+"/limits/bodyBytes",schemaPath:"#/$defs/Limits/properties/bodyBytes/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema59.properties.bodyBytes,data:data19}];
return false;
}
}
}
var valid12 = _errs43 === errors;
}
else {
var valid12 = true;
}
if(valid12){
if(data18.answerBytes !== undefined){
let data20 = data18.answerBytes;
const _errs45 = errors;
if(!(((typeof data20 == "number") && (!(data20 % 1) && !isNaN(data20))) && (isFinite(data20)))){
validate20.errors = [{instancePath:instancePath+"/limits/answerBytes",schemaPath:"#/$defs/Limits/properties/answerBytes/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema59.properties.answerBytes.type,parentSchema:schema59.properties.answerBytes,data:data20}];
return false;
}
if(errors === _errs45){
if((typeof data20 == "number") && (isFinite(data20))){
if(data20 < 1 || isNaN(data20)){
validate20.errors = [{instancePath:instancePath+"/limits/answerBytes",schemaPath:"#/$defs/Limits/properties/answerBytes/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema59.properties.answerBytes,data:data20}];
return false;
}
}
}
var valid12 = _errs45 === errors;
}
else {
var valid12 = true;
}
if(valid12){
if(data18.inFlight !== undefined){
let data21 = data18.inFlight;
const _errs47 = errors;
if(!(((typeof data21 == "number") && (!(data21 % 1) && !isNaN(data21))) && (isFinite(data21)))){
validate20.errors = [{instancePath:instancePath+"/limits/inFlight",schemaPath:"#/$defs/Limits/properties/inFlight/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema59.properties.inFlight.type,parentSchema:schema59.properties.inFlight,data:data21}];
return false;
}
if(errors === _errs47){
if((typeof data21 == "number") && (isFinite(data21))){
if(data21 < 1 || isNaN(data21)){
validate20.errors = [{instancePath:instancePath+"/limits/inFlight",schemaPath:"#/$defs/Limits/properties/inFlight/minimum",keyword:"minimum",params:{comparison: ">=", limit: 1},message:"must be >= 1",schema:1,parentSchema:schema59.properties.inFlight,data:data21}];
return false;
}
}
}
var valid12 = _errs47 === errors;
}
else {
var valid12 = true;
}
if(valid12){
if(data18.endpointLease !== undefined){
let data22 = data18.endpointLease;
const _errs49 = errors;
if(!(((typeof data22 == "number") && (!(data22 % 1) && !isNaN(data22))) && (isFinite(data22)))){
validate20.errors = [{instancePath:instancePath+"/limits/endpointLease",schemaPath:"#/$defs/Limits/properties/endpointLease/type",keyword:"type",params:{type: "integer"},message:"must be integer",schema:schema59.properties.endpointLease.type,parentSchema:schema59.properties.endpointLease,data:data22}];
return false;
}
if(errors === _errs49){
if((typeof data22 == "number") && (isFinite(data22))){
if(data22 < 100 || isNaN(data22)){
validate20.errors = [{instancePath:instancePath+"/limits/endpointLease",schemaPath:"#/$defs/Limits/properties/endpointLease/minimum",keyword:"minimum",params:{comparison: ">=", limit: 100},message:"must be >= 100",schema:100,parentSchema:schema59.properties.endpointLease,data:data22}];
return false;
}
}
}
var valid12 = _errs49 === errors;
}
else {
var valid12 = true;
}
if(valid12){
if(data18.loadRate !== undefined){
let data23 = data18.loadRate;
const _errs51 = errors;
if(errors === _errs51){
if((typeof data23 == "number") && (isFinite(data23))){
if(data23 <= 0 || isNaN(data23)){
validate20.errors = [{instancePath:instancePath+"/limits/loadRate",schemaPath:"#/$defs/Limits/properties/loadRate/exclusiveMinimum",keyword:"exclusiveMinimum",params:{comparison: ">", limit: 0},message:"must be > 0",schema:0,parentSchema:schema59.properties.loadRate,data:data23}];
return false;
}
}
else {
validate20.errors = [{instancePath:instancePath+"/limits/loadRate",schemaPath:"#/$defs/Limits/properties/loadRate/type",keyword:"type",params:{type: "number"},message:"must be number",schema:schema59.properties.loadRate.type,parentSchema:schema59.properties.loadRate,data:data23}];
return false;
}
}
var valid12 = _errs51 === errors;
}
else {
var valid12 = true;
}
}
}
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/limits",schemaPath:"#/$defs/Limits/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema59.type,parentSchema:schema59,data:data18}];
return false;
}
}
var valid0 = _errs39 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.log !== undefined){
let data24 = data.log;
const _errs53 = errors;
const _errs54 = errors;
if(errors === _errs54){
if(data24 && typeof data24 == "object" && !Array.isArray(data24)){
const _errs56 = errors;
for(const key5 in data24){
if(!(key5 === "level")){
validate20.errors = [{instancePath:instancePath+"/log",schemaPath:"#/$defs/Log/additionalProperties",keyword:"additionalProperties",params:{additionalProperty: key5},message:"must NOT have additional properties",schema:false,parentSchema:schema60,data:data24}];
return false;
break;
}
}
if(_errs56 === errors){
if(data24.level !== undefined){
let data25 = data24.level;
if(!(((((data25 === "debug") || (data25 === "info")) || (data25 === "warn")) || (data25 === "error")) || (data25 === "silent"))){
validate20.errors = [{instancePath:instancePath+"/log/level",schemaPath:"#/$defs/Log/properties/level/enum",keyword:"enum",params:{allowedValues: schema60.properties.level.enum},message:"must be equal to one of the allowed values",schema:schema60.properties.level.enum,parentSchema:schema60.properties.level,data:data25}];
return false;
}
}
}
}
else {
validate20.errors = [{instancePath:instancePath+"/log",schemaPath:"#/$defs/Log/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema60.type,parentSchema:schema60,data:data24}];
return false;
}
}
var valid0 = _errs53 === errors;
}
else {
var valid0 = true;
}
if(valid0){
if(data.metrics !== undefined){
const _errs58 = errors;
if(!(validate41(data.metrics, {instancePath:instancePath+"/metrics",parentData:data,parentDataProperty:"metrics",rootData,dynamicAnchors}))){
vErrors = vErrors === null ? validate41.errors : vErrors.concat(validate41.errors);
errors = vErrors.length;
}
var valid0 = _errs58 === errors;
}
else {
var valid0 = true;
}
}
}
}
}
}
}
}
}
}
}
}
}
}
}
else {
validate20.errors = [{instancePath,schemaPath:"#/type",keyword:"type",params:{type: "object"},message:"must be object",schema:schema31.type,parentSchema:schema31,data}];
return false;
}
}
validate20.errors = vErrors;
return errors === 0;
}
validate20.evaluated = {"props":true,"dynamicProps":false,"dynamicItems":false};

